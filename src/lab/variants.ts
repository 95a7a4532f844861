import {defaultPolicy, type SchedulerPolicy} from '../services/index.js';
import type {Variant} from './cluster.js';

/** First-come order with a fixed batch that just meets the gap target at the mean load. */
const firstCome: Partial<SchedulerPolicy> = {
	tiers: false,
	shares: false,
	headroom: false,
	pacing: false,
	fairness: false,
	slack: false,
	admission: false,
	giveUp: false,
	displacement: false,
	lengths: false,
	adaptiveLimit: false,
	slowStart: false,
	memoryBound: false,
	prefixCache: false,
	reservations: false,
};

const baselines: readonly Variant[] = [
	{name: 'round-robin', choice: 'roundRobin', policy: firstCome},
	{name: 'least-outstanding', choice: 'leastOutstanding', policy: firstCome},
	{name: 'two-choices', choice: 'twoChoices', policy: firstCome},
	{
		name: 'strict-priority',
		choice: 'twoChoices',
		policy: {...firstCome, tiers: true},
	},
];

const mechanisms = Object.entries(defaultPolicy)
	.filter(([, value]) => value === true)
	.map(([name]) => name);

/** The product, the baselines, and the product without each mechanism in turn. */
export const variants: readonly Variant[] = [
	{name: 'cicadaswitch', choice: 'offers', policy: {}},
	...baselines,
	...mechanisms.map((name): Variant => ({
		name: `without-${name}`,
		choice: 'offers',
		policy: {[name]: false},
	})),
];
