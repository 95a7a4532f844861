import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import {type Random} from '../base/index.js';
import type {TableAnswer, Term} from '../interfaces/index.js';
import {
	Spread,
	termKey,
	RecordWriter,
	type SpreadInput,
	type WriterEffect,
	type WriterMessage,
} from '../services/index.js';
import {
	RecordsFuzz,
	type RecordsAction,
	type RecordsScenario,
	type RecordsVariant,
	type Violation,
} from './records-fuzz.js';
import type {SpreadMachine} from './spread-fleet.js';

const runCount = Number(process.env.FUZZ_RUNS ?? 60);
const seed = Number(process.env.FUZZ_SEED ?? 1);

const operator = fc.nat({max: 2});
const index = fc.nat({max: 4});
const ms = fc.integer({min: 100, max: 20_000});
const fraction = fc.constantFrom(0, 0.2, 0.5);
const action: fc.Arbitrary<RecordsAction> = fc.oneof(
	{
		weight: 6,
		arbitrary: fc.record({
			type: fc.constant('write' as const),
			operator,
			record: fc.nat({max: 2}),
			isDelete: fc.boolean(),
		}),
	},
	fc.record({type: fc.constant('handover' as const), operator}),
	fc.record({type: fc.constant('kill' as const), process: index}),
	fc.record({type: fc.constant('pause' as const), process: index, ms}),
	fc.record({type: fc.constant('pauseOperator' as const), operator, ms}),
	fc.record({type: fc.constant('outage' as const), ms}),
	fc.record({
		type: fc.constant('partition' as const),
		mask: fc.nat({max: 31}),
		ms,
	}),
	fc.record({
		type: fc.constant('faults' as const),
		uncertain: fraction,
		loss: fraction,
		stale: fraction,
	}),
	fc.record({
		type: fc.constant('wait' as const),
		ms: fc.integer({min: 100, max: 3000}),
	}),
);
const scenario: fc.Arbitrary<RecordsScenario> = fc.record({
	seed: fc.nat({max: 1_000_000}),
	actions: fc.array(action, {maxLength: 25, size: 'max'}),
});

function findViolations(
	variant?: RecordsVariant,
): Array<Violation['invariant']> {
	const found = new Set<Violation['invariant']>();
	for (const each of fc.sample(scenario, {seed, numRuns: runCount})) {
		for (const {invariant} of new RecordsFuzz(each, variant).violations) {
			found.add(invariant);
		}
	}

	return [...found];
}

// Guards against any violation of an invariant that the oracle checks, under all faults at once.
test('records keep their invariants under faults', () => {
	fc.assert(
		fc.property(scenario, (each) => {
			expect(new RecordsFuzz(each).violations).toEqual([]);
		}),
		{seed, numRuns: runCount},
	);
});

/** Base of the faulty variants; forwards to a real spread state machine. */
abstract class SpreadWrapper implements SpreadMachine {
	protected inner: Spread;

	constructor(
		protected readonly id: string,
		protected readonly random: Random,
	) {
		this.inner = new Spread({id, random});
	}

	get revision(): number | undefined {
		return this.inner.revision;
	}

	nextWake(): number | undefined {
		return this.inner.nextWake();
	}

	abstract handle(
		message: SpreadInput,
		now: number,
	): ReturnType<Spread['handle']>;
}

/** Resets to the revision of a peer that has an older one, without its records. */
class AcceptsOlderRevision extends SpreadWrapper {
	handle(message: SpreadInput, now: number) {
		if (
			message.type === 'peer' &&
			message.message.revision < (this.inner.revision ?? 0)
		) {
			const {revision} = message.message;
			const records = new Map();
			return [{type: 'reset', revision, records} as const];
		}

		return this.inner.handle(message, now);
	}
}

/** Ignores all peers, and the table once it has a revision. */
class IgnoresUpdates extends SpreadWrapper {
	handle(message: SpreadInput, now: number) {
		return message.type === 'peer' ||
			(message.type === 'table' && this.inner.revision !== undefined)
			? []
			: this.inner.handle(message, now);
	}
}

type WriterMachine = Pick<RecordWriter, 'handle' | 'nextWake'>;

/** Makes a writer whose table answers or effects are altered. */
function writerWith(change: {
	answer?: (answer: TableAnswer) => TableAnswer;
	effect?: (effect: WriterEffect) => WriterEffect;
}): (random: Random) => WriterMachine {
	return (random) => {
		const inner = new RecordWriter(random);
		return {
			nextWake: () => inner.nextWake(),
			handle(message: WriterMessage, now: number) {
				const changed =
					message.type === 'table' && change.answer
						? {...message, answer: change.answer(message.answer)}
						: message;
				const effects = inner.handle(changed, now);
				return change.effect
					? effects.map((effect) => change.effect!(effect))
					: effects;
			},
		};
	};
}

const treatsUncertainAsCommitted = writerWith({
	answer: (answer) =>
		answer.type === 'uncertain'
			? {type: 'decision', decision: {type: 'committed', revision: 1}}
			: answer,
});

/** Reads every term without its end revision. */
const ignoresTerms = writerWith({
	answer(answer) {
		if (answer.type !== 'row' || !answer.row?.key.startsWith(termKey(''))) {
			return answer;
		}

		const {endsAtRevision: _, ...term} = JSON.parse(answer.row.value) as Term;
		return {type: 'row', row: {...answer.row, value: JSON.stringify(term)}};
	},
});

const faultyVariants: Array<[Violation['invariant'], RecordsVariant]> = [
	[
		'never reverts',
		{spread: (id, random) => new AcceptsOlderRevision(id, random)},
	],
	[
		'in force everywhere',
		{spread: (id, random) => new IgnoresUpdates(id, random)},
	],
	['accepted write is not lost', {writer: treatsUncertainAsCommitted}],
	['ended term refuses', {writer: ignoresTerms}],
];
for (const [invariant, variant] of faultyVariants) {
	// Guards against an oracle that misses a violation of the invariant.
	test(`a variant that violates "${invariant}" is detected`, () => {
		expect(findViolations(variant)).toInclude(invariant);
	});
}
