import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import {
	Lifecycle,
	type LifecycleEffect,
	type LifecycleInput,
	type LifecycleOptions,
} from '../services/index.js';
import {
	LifecycleFuzz,
	type LifecycleAction,
	type LifecycleMachine,
	type LifecycleScenario,
	type LifecycleVariant,
	type LifecycleViolation,
} from './lifecycle-fuzz.js';

const runs = Number(process.env.FUZZ_RUNS ?? 100);
const seed = Number(process.env.FUZZ_SEED ?? 1);

const sidecar = fc.nat({max: 1});
const ms = fc.integer({min: 1000, max: 90_000});
const action: fc.Arbitrary<LifecycleAction> = fc.oneof(
	fc.record({type: fc.constant('kill' as const), sidecar}),
	fc.record({type: fc.constant('pause' as const), sidecar, ms}),
	fc.record({type: fc.constant('outage' as const), ms}),
	fc.record({
		type: fc.constant('uncertain' as const),
		part: fc.constantFrom(0, 0.3, 0.6),
	}),
	fc.record({
		type: fc.constant('clockStep' as const),
		ms: fc.integer({min: -300_000, max: 300_000}),
	}),
	{
		weight: 4,
		arbitrary: fc.record({type: fc.constant('wait' as const), ms}),
	},
);
const scenario: fc.Arbitrary<LifecycleScenario> = fc.record({
	seed: fc.nat({max: 1_000_000}),
	actions: fc.array(action, {maxLength: 25, size: 'max'}),
});

// Guards against commands under an old lease and schedules that fire twice or never, under all faults at once.
test('the lifecycle keeps its promises under faults', () => {
	let executed = 0;
	fc.assert(
		fc.property(scenario, (each) => {
			const fuzz = new LifecycleFuzz(each);
			expect(fuzz.violations).toEqual([]);
			executed += fuzz.executed;
		}),
		{seed, numRuns: runs},
	);
	expect(executed).toBeGreaterThan(runs);
});

/** Takes a write whose answer was lost for committed. */
function hasty(options: LifecycleOptions): LifecycleMachine {
	const inner = new Lifecycle(options);
	return {
		handle(message: LifecycleInput, now: number) {
			const isUncertain =
				message.type === 'table' && message.answer.type === 'uncertain';
			const decision = {type: 'committed', revision: 1} as const;
			return inner.handle(
				isUncertain
					? {...message, answer: {type: 'decision', decision}}
					: message,
				now,
			);
		},
	};
}

/** Has a clock that stands still during a pause. */
function slowClock(options: LifecycleOptions): LifecycleMachine {
	const inner = new Lifecycle(options);
	let last = 0;
	let lost = 0;
	return {
		handle(message: LifecycleInput, now: number): LifecycleEffect[] {
			if (last > 0 && now - last > 2000) {
				lost += now - last;
			}

			last = now;
			return inner
				.handle(message, now - lost)
				.map((effect) =>
					effect.type === 'command'
						? {...effect, validUntil: effect.validUntil + lost}
						: effect,
				);
		},
	};
}

/** Forgets what it has claimed, and acts when the row is there already. */
function unclaimed(options: LifecycleOptions): LifecycleMachine {
	const inner = new Lifecycle(options);
	return {
		handle(message: LifecycleInput, now: number) {
			const isTaken =
				message.type === 'table' &&
				message.answer.type === 'decision' &&
				message.answer.decision.type === 'conflict' &&
				message.answer.decision.key.startsWith('schedule/');
			const decision = {type: 'committed', revision: 1} as const;
			return inner.handle(
				isTaken ? {...message, answer: {type: 'decision', decision}} : message,
				now,
			);
		},
	};
}

/** Looks at its schedules only while it never had a failed table call. */
function discouraged(options: LifecycleOptions): LifecycleMachine {
	const inner = new Lifecycle(options);
	let isStuck = false;
	return {
		handle(message: LifecycleInput, now: number) {
			isStuck ||=
				message.type === 'table' && message.answer.type === 'unavailable';
			return isStuck ? [] : inner.handle(message, now);
		},
	};
}

const broken: Array<[string, LifecycleViolation['promise'], LifecycleVariant]> =
	[
		['hasty', 'schedule fires once', hasty],
		['unclaimed', 'schedule fires once', unclaimed],
		['slow clock', 'older fencing token never executes', slowClock],
		['discouraged', 'schedule fires late', discouraged],
	];
for (const [name, promise, variant] of broken) {
	// Guards against an oracle that would not see the promise broken.
	test(`the ${name} variant breaks "${promise}" and is caught`, () => {
		const found = new Set<string>();
		for (const each of fc.sample(scenario, {seed, numRuns: runs})) {
			for (const violation of new LifecycleFuzz(each, variant).violations) {
				found.add(violation.promise);
			}
		}

		expect([...found]).toInclude(promise);
	});
}
