import {defaultPolicy, type SchedulerPolicy} from '../services/index.js';
import type {Variant} from './cluster.js';

/** First come, first served with a fixed batch that just meets the gap target at the mean load. */
const firstComeFirstServed: Partial<SchedulerPolicy> = {
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
	{name: 'round-robin', choice: 'roundRobin', policy: firstComeFirstServed},
	{
		name: 'least-outstanding',
		choice: 'leastOutstanding',
		policy: firstComeFirstServed,
	},
	{name: 'two-choices', choice: 'twoChoices', policy: firstComeFirstServed},
	{
		name: 'strict-priority',
		choice: 'twoChoices',
		policy: {...firstComeFirstServed, tiers: true},
	},
];

/** Names of the mechanisms that the default policy enables. */
const mechanisms = Object.entries(defaultPolicy)
	.filter(([, value]) => value === true)
	.map(([name]) => name);

/** The product, the baselines, and the product with each mechanism disabled in turn. */
export const variants: readonly Variant[] = [
	{name: 'cicadaswitch', choice: 'offers', policy: {}},
	...baselines,
	...mechanisms.map((name): Variant => ({
		name: `without-${name}`,
		choice: 'offers',
		policy: {[name]: false},
	})),
];
