import process from 'node:process';
import {test} from 'node:test';
import fc from 'fast-check';
import {expect} from 'earl';
import {type Random} from '../base/index.js';
import type {TableAnswer, Term} from '../interfaces/index.js';
import {
	Spread,
	termKey,
	Writer,
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

const runs = Number(process.env.FUZZ_RUNS ?? 60);
const seed = Number(process.env.FUZZ_SEED ?? 1);

const operator = fc.nat({max: 2});
const index = fc.nat({max: 4});
const ms = fc.integer({min: 100, max: 20_000});
const part = fc.constantFrom(0, 0.2, 0.5);
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
		uncertain: part,
		loss: part,
		stale: part,
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

function violations(variant?: RecordsVariant): Array<Violation['promise']> {
	const found = new Set<Violation['promise']>();
	for (const each of fc.sample(scenario, {seed, numRuns: runs})) {
		for (const {promise} of new RecordsFuzz(each, variant).violations) {
			found.add(promise);
		}
	}

	return [...found];
}

// Guards against every broken promise on records that the oracle can see, under all faults at once.
test('records keep their promises under faults', () => {
	fc.assert(
		fc.property(scenario, (each) => {
			expect(new RecordsFuzz(each).violations).toEqual([]);
		}),
		{seed, numRuns: runs},
	);
});

/** Passes everything on to a spread state machine that it can replace. */
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

/** Starts over from whatever a peer has when it hears of an older revision. */
class Forgetful extends SpreadWrapper {
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

/** Hears no peer and believes its first reading of the head for good. */
class Deaf extends SpreadWrapper {
	handle(message: SpreadInput, now: number) {
		return message.type === 'peer' ||
			(message.type === 'table' && this.inner.revision !== undefined)
			? []
			: this.inner.handle(message, now);
	}
}

type WriterMachine = Pick<Writer, 'handle' | 'nextWake'>;

/** Changes the table's answers or the calls of a writer. */
function writerWith(change: {
	answer?: (answer: TableAnswer) => TableAnswer;
	effect?: (effect: WriterEffect) => WriterEffect;
}): (random: Random) => WriterMachine {
	return (random) => {
		const inner = new Writer(random);
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

const takesUncertainForCommitted = writerWith({
	answer: (answer) =>
		answer.type === 'uncertain'
			? {type: 'decision', decision: {type: 'committed', revision: 1}}
			: answer,
});

/** Reads every term as if it had no end, and does not check its row. */
const ignoresTerms = writerWith({
	answer(answer) {
		if (answer.type !== 'row' || !answer.row?.key.startsWith(termKey(''))) {
			return answer;
		}

		const {endsAtRevision: _, ...term} = JSON.parse(answer.row.value) as Term;
		return {type: 'row', row: {...answer.row, value: JSON.stringify(term)}};
	},
});

const broken: Array<[Violation['promise'], RecordsVariant]> = [
	['never reverts', {spread: (id, random) => new Forgetful(id, random)}],
	['in force everywhere', {spread: (id, random) => new Deaf(id, random)}],
	['accepted write is not lost', {writer: takesUncertainForCommitted}],
	['ended term refuses', {writer: ignoresTerms}],
];
for (const [promise, variant] of broken) {
	// Guards against an oracle that would not see the promise broken.
	test(`a variant that breaks "${promise}" is caught`, () => {
		expect(violations(variant)).toInclude(promise);
	});
}
