import * as fc from 'fast-check';
import type {Plan, RequestStep, Step} from './plan.js';

/** Time within which the steps of a plan start, in milliseconds. */
const planDurationMs = 12_000;

/** The same for plans with only a few idempotency keys. */
const keyedDurationMs = 6000;

const index = fc.nat({max: 5});
const at = fc.nat({max: planDurationMs});
const process = fc.record({
	role: fc.constantFrom('entry', 'sidecar'),
	index,
});

const request: fc.Arbitrary<RequestStep> = fc.record({
	type: fc.constant('request'),
	at,
	entry: index,
	workspace: fc.nat({max: 1}),
	requestClass: fc.constantFrom('tight', 'loose'),
	target: fc.constantFrom('model', 'service'),
	length: fc.integer({min: 1, max: 60}),
	timeoutMs: fc.integer({min: 100, max: 10_000}),
	resumable: fc.boolean(),
	key: fc.option(fc.nat({max: 9}), {nil: undefined, freq: 3}),
	copies: fc.oneof(
		{weight: 4, arbitrary: fc.constant(1)},
		{weight: 1, arbitrary: fc.integer({min: 2, max: 30})},
	),
	goneAfterMs: fc.option(fc.integer({min: 1, max: 4000}), {
		nil: undefined,
		freq: 1,
	}),
	returnAfterMs: fc.option(fc.integer({min: 1, max: 9000}), {
		nil: undefined,
		freq: 5,
	}),
	returnEntry: index,
	returnCancels: fc.boolean(),
	takeMs: fc.oneof(
		{weight: 4, arbitrary: fc.constant(0)},
		{weight: 1, arbitrary: fc.nat({max: 300})},
	),
});

const forMs = fc.integer({min: 1, max: 8000});

const fault: fc.Arbitrary<Step> = fc.oneof(
	fc.record({
		type: fc.constant('cut' as const),
		at,
		entry: index,
		endpoint: index,
	}),
	fc.record({
		type: fc.constant('silence' as const),
		at,
		entry: index,
		endpoint: index,
		direction: fc.constantFrom('up' as const, 'down' as const, 'both' as const),
	}),
	fc.record({
		type: fc.constant('partition' as const),
		at,
		entry: index,
		endpoint: index,
		forMs,
	}),
	fc.record({type: fc.constant('pause' as const), at, process, forMs}),
	fc.record({
		type: fc.constant('kill' as const),
		at,
		process,
		downMs: fc.integer({min: 1, max: 4000}),
		reset: fc.boolean(),
	}),
	fc.record({
		type: fc.constant('crash' as const),
		at,
		endpoint: index,
		downMs: fc.integer({min: 1, max: 4000}),
	}),
	fc.record({
		type: fc.constant('slow' as const),
		at,
		endpoint: index,
		factor: fc.constantFrom(2, 10, 50),
		forMs,
	}),
	fc.record({
		type: fc.constant('table' as const),
		at,
		forMs,
		mode: fc.constantFrom(
			'refused' as const,
			'lostBefore' as const,
			'lostAfter' as const,
			'late' as const,
			'hanging' as const,
		),
	}),
);

const leave: fc.Arbitrary<Step> = fc.record({
	type: fc.constant('leave' as const),
	at,
	process,
});

function plan(
	steps: fc.Arbitrary<Step[]>,
	lossy: fc.Arbitrary<boolean>,
): fc.Arbitrary<Plan> {
	return fc.record({
		seed: fc.nat(),
		entries: fc.integer({min: 1, max: 3}),
		engines: fc.integer({min: 1, max: 3}),
		services: fc.integer({min: 1, max: 2}),
		lossy,
		engineGapMs: fc.constant(20),
		gapTargetMs: fc.constantFrom(32, 1000),
		shares: fc.constant({tight: 0.5, loose: 0.2}),
		steps,
	});
}

/** Several entries and endpoints with requests, faults and planned stops. */
export const faultyPlan = plan(
	fc.array(
		fc.oneof(
			{weight: 5, arbitrary: request},
			{weight: 3, arbitrary: fault},
			{weight: 1, arbitrary: leave},
		),
		{maxLength: 30, size: 'max'},
	),
	fc.boolean(),
);

/** Requests and planned stops, but no faults. */
export const calmPlan = plan(
	fc.array(
		fc.oneof({weight: 5, arbitrary: request}, {weight: 1, arbitrary: leave}),
		{maxLength: 20, size: 'max'},
	),
	fc.constant(false),
);

/** One endpoint under a backlog of both classes, without guaranteed shares or faults. */
export const backlogPlan: fc.Arbitrary<Plan> = fc.record({
	seed: fc.nat(),
	entries: fc.integer({min: 1, max: 2}),
	engines: fc.constant(1),
	services: fc.constant(0),
	lossy: fc.constant(false),
	engineGapMs: fc.constant(50),
	gapTargetMs: fc.constant(80),
	shares: fc.constant({tight: 0, loose: 0}),
	steps: fc.array(
		fc.record({
			type: fc.constant('request' as const),
			at: fc.nat({max: 5000}),
			entry: index,
			workspace: fc.nat({max: 1}),
			requestClass: fc.constantFrom('tight' as const, 'loose' as const),
			target: fc.constant('model' as const),
			length: fc.integer({min: 1, max: 60}),
			timeoutMs: fc.constant(300_000),
			resumable: fc.constant(false),
			copies: fc.integer({min: 1, max: 25}),
			takeMs: fc.constant(0),
		}),
		{minLength: 1, maxLength: 6, size: 'max'},
	),
});

/** Length of the burst, in seconds. */
const burstSeconds = 50;

const baseRequest = {
	type: 'request',
	entry: 0,
	workspace: 0,
	target: 'model',
	length: 40,
	timeoutMs: 300_000,
	resumable: false,
	takeMs: 0,
} as const;

/** One endpoint, a burst of the higher tier that exceeds its capacity, and more demand of the lower tier than its guaranteed share. */
export const burstPlan: fc.Arbitrary<Plan> = fc
	.record({
		seed: fc.nat(),
		backlog: fc.integer({min: 20, max: 160}),
		seconds: fc.array(
			fc.record({
				tight: fc.integer({min: 9, max: 25}),
				loose: fc.integer({min: 2, max: 6}),
			}),
			{minLength: burstSeconds, maxLength: burstSeconds},
		),
	})
	.map(({seed, backlog, seconds}) => ({
		seed,
		entries: 1,
		engines: 1,
		services: 0,
		lossy: false,
		engineGapMs: 50,
		gapTargetMs: 80,
		shares: {tight: 0.5, loose: 0.2},
		steps: [
			{...baseRequest, requestClass: 'loose', at: 0, copies: backlog},
			...seconds.flatMap(({tight, loose}, second): RequestStep[] => [
				{
					...baseRequest,
					requestClass: 'tight',
					at: second * 1000,
					copies: tight,
				},
				{
					...baseRequest,
					requestClass: 'loose',
					at: second * 1000 + 500,
					copies: loose,
				},
			]),
		],
	}));

/** Many callers that repeat requests of a few idempotency keys at several entries and services, while processes, links and the table fail. */
export const keyedPlan: fc.Arbitrary<Plan> = fc.record({
	seed: fc.nat(),
	entries: fc.integer({min: 1, max: 3}),
	engines: fc.constant(1),
	services: fc.integer({min: 1, max: 3}),
	lossy: fc.boolean(),
	engineGapMs: fc.constant(20),
	gapTargetMs: fc.constant(1000),
	shares: fc.constant({tight: 0.5, loose: 0.2}),
	steps: fc.array(
		fc.oneof(
			{
				weight: 4,
				arbitrary: request.map((step): RequestStep => ({
					...step,
					at: step.at % keyedDurationMs,
					workspace: 0,
					target: 'service',
					key: (step.key ?? 0) % 4,
					copies: 1,
				})),
			},
			{
				weight: 3,
				arbitrary: fault.map((step): Step => ({
					...step,
					at: step.at % keyedDurationMs,
				})),
			},
			{
				weight: 1,
				arbitrary: leave.map((step): Step => ({
					...step,
					at: step.at % keyedDurationMs,
				})),
			},
		),
		{minLength: 2, maxLength: 30, size: 'max'},
	),
});

/** One endpoint whose queue is full of requests of the lower tier when those of the higher tier arrive. */
export const floodPlan: fc.Arbitrary<Plan> = fc
	.record({
		seed: fc.nat(),
		tight: fc.integer({min: 100, max: 300}),
		loose: fc.integer({min: 360, max: 400}),
	})
	.map(({seed, tight, loose}) => ({
		seed,
		entries: 1,
		engines: 1,
		services: 0,
		lossy: false,
		engineGapMs: 50,
		gapTargetMs: 80,
		shares: {tight: 0, loose: 0},
		steps: [
			...[0, 1, 2].map((index): RequestStep => ({
				...baseRequest,
				requestClass: 'loose',
				at: index * 10,
				copies: loose,
			})),
			{...baseRequest, requestClass: 'tight', at: 4000, copies: tight},
		],
	}));
