import {isDeepStrictEqual} from 'node:util';
import {Random} from '../base/index.js';
import {
	headKey,
	logEntrySchema,
	logPrefix,
	recordPrefix,
	termSchema,
	type LogEntry,
	type Term,
} from '../interfaces/index.js';
import {
	headRevision,
	Spread,
	termKey,
	RecordWriter,
	type Edit,
	type WriteResult,
	type WriterEffect,
	type WriterMessage,
} from '../services/index.js';
import {FaultyTable, maxCommitDelayMs} from './faulty-table.js';
import {SpreadFleet, type SpreadMachine} from './spread-fleet.js';

/** One step of a scenario; times are in milliseconds of virtual time. */
export type RecordsAction =
	| {
			readonly type: 'write';
			readonly operator: number;
			readonly record: number;
			readonly isDelete: boolean;
	  }
	/** Ends the operator's term three revisions after the head; the next operator's term follows. */
	| {readonly type: 'handover'; readonly operator: number}
	| {readonly type: 'kill'; readonly process: number}
	| {readonly type: 'pause'; readonly process: number; readonly ms: number}
	| {
			readonly type: 'pauseOperator';
			readonly operator: number;
			readonly ms: number;
	  }
	| {readonly type: 'outage'; readonly ms: number}
	/** Separates the processes in the bit mask from the others and from the table. */
	| {readonly type: 'partition'; readonly mask: number; readonly ms: number}
	| {
			readonly type: 'faults';
			readonly uncertain: number;
			readonly loss: number;
			readonly stale: number;
	  }
	| {readonly type: 'wait'; readonly ms: number};

export type RecordsScenario = {
	readonly seed: number;
	readonly actions: readonly RecordsAction[];
};

type WriterMachine = Pick<RecordWriter, 'handle' | 'nextWake'>;

/** State machines that replace the real ones. */
export type RecordsVariant = {
	readonly spread?: (id: string, random: Random) => SpreadMachine;
	readonly writer?: (random: Random) => WriterMachine;
};

/** A violated invariant and what was observed. */
export type Violation = {
	readonly invariant:
		| 'never reverts'
		| 'in force everywhere'
		| 'accepted write is not lost'
		| 'ended term refuses';
	readonly detail: string;
};

const processCount = 5;
/** Characters in a piece of a snapshot; small enough that every record is a piece of its own. */
const pieceCharacters = 100;
const operatorNames = ['abay', 'baro', 'didessa'];
/** Time without faults within which everything must converge, in milliseconds. */
const convergenceMs = 60_000;

/** The process in which an operator writes records. */
type OperatorProcess = {
	machine: WriterMachine;
	wakeAt: number | undefined;
	pausedUntil: number;
};

/** Runs a scenario with operators and a fleet, and checks their results and records against the log in the table. */
export class RecordsFuzz {
	readonly violations: Violation[] = [];
	readonly #fleet: SpreadFleet;
	readonly #random: Random;
	readonly #operators: OperatorProcess[];
	readonly #results = new Map<string, WriteResult>();
	/** Last revision that each process applied in its current run. */
	readonly #appliedRevisions = Array.from({length: processCount}, () => 0);
	/** Head of the log when each process started; undefined once reads of the table could fail or be stale. */
	readonly #startHeads: Array<number | undefined> = [];
	/** The table through which the operators write. */
	readonly #table: FaultyTable;
	#writeCount = 0;

	constructor(scenario: RecordsScenario, variant: RecordsVariant = {}) {
		this.#random = new Random(scenario.seed);
		this.#fleet = new SpreadFleet({
			members: processCount,
			seed: scenario.seed,
			machine:
				variant.spread ??
				((id, random) => new Spread({id, random, pieceCharacters})),
			onDidChangeRecords: (process, effect) => {
				if (effect.type === 'apply') {
					this.#checkApply(process, effect.entry);
				} else {
					this.#checkReset(process, effect.revision, effect.records);
				}
			},
		});
		const {table, clock} = this.#fleet;
		this.#table = new FaultyTable(table, clock, this.#random);
		this.#operators = operatorNames.map((_, index) => {
			const random = new Random(scenario.seed + index);
			return {
				machine: variant.writer?.(random) ?? new RecordWriter(random),
				wakeAt: undefined,
				pausedUntil: 0,
			};
		});
		this.#run(scenario.actions);
	}

	#run(actions: readonly RecordsAction[]): void {
		const fleet = this.#fleet;
		this.#write(0, [termEdit(0, {startsAtRevision: 1})]);
		fleet.runUntil(1000);
		for (let process = 0; process < processCount; process++) {
			this.#start(process);
		}

		fleet.runUntil(5000);
		for (const action of actions) {
			this.#perform(action);
			fleet.runUntil(fleet.now + 200);
		}

		this.#clearFaults();
		fleet.runUntil(fleet.now + convergenceMs + maxCommitDelayMs);
		this.#checkEnd();
	}

	#perform(action: RecordsAction): void {
		const fleet = this.#fleet;
		switch (action.type) {
			case 'write': {
				const name = `class-${action.record}`;
				const fields = {tier: this.#writeCount % 10, firstTokenMs: 1, gapMs: 1};
				const record = action.isDelete
					? null
					: {schema: 1, kind: 'class', name, ...fields};
				this.#write(action.operator, [{kind: 'class', name, record}]);
				break;
			}

			case 'handover': {
				this.#handOver(action.operator);
				break;
			}

			case 'kill': {
				this.#start(action.process);
				break;
			}

			case 'pause': {
				fleet.pause(action.process, fleet.now + action.ms);
				break;
			}

			case 'pauseOperator': {
				this.#operators[action.operator]!.pausedUntil = fleet.now + action.ms;
				break;
			}

			case 'outage': {
				fleet.isTableDown = true;
				this.#table.isDown = true;
				this.#startHeads.fill(undefined);
				fleet.runUntil(fleet.now + action.ms);
				fleet.isTableDown = false;
				this.#table.isDown = false;
				break;
			}

			case 'partition': {
				const isInMask = (process: number) =>
					Math.floor(action.mask / 2 ** process) % 2 === 1;
				this.#startHeads.fill(undefined);
				fleet.cut = (from, to) =>
					isInMask(from) !== (to !== undefined && isInMask(to));
				fleet.runUntil(fleet.now + action.ms);
				fleet.cut = undefined;
				break;
			}

			case 'faults': {
				this.#table.uncertain = action.uncertain;
				fleet.loss = action.loss;
				fleet.staleReadFraction = action.stale;
				if (action.stale > 0) {
					this.#startHeads.fill(undefined);
				}

				break;
			}

			case 'wait': {
				fleet.runUntil(fleet.now + action.ms);
				break;
			}
		}
	}

	#start(process: number): void {
		const fleet = this.#fleet;
		this.#appliedRevisions[process] = 0;
		const isReadable =
			!fleet.isTableDown && !fleet.cut && fleet.staleReadFraction === 0;
		this.#startHeads[process] = isReadable ? fleet.head() : undefined;
		fleet.start(process);
	}

	#clearFaults(): void {
		this.#table.uncertain = 0;
		this.#fleet.loss = 0;
		this.#fleet.staleReadFraction = 0;
		for (const operator of this.#operators) {
			operator.pausedUntil = 0;
		}

		for (let process = 0; process < processCount; process++) {
			this.#fleet.pause(process, 0);
		}
	}

	#handOver(operator: number): void {
		const next = (operator + 1) % operatorNames.length;
		const end = this.#fleet.head() + 3;
		const startsAtRevision = this.#termOf(operator)?.startsAtRevision ?? 1;
		const successor = operatorNames[next]!;
		this.#write(operator, [
			termEdit(operator, {
				startsAtRevision,
				endsAtRevision: end,
				successor,
			}),
			termEdit(next, {startsAtRevision: end + 1}),
		]);
	}

	#termOf(operator: number): Term | undefined {
		const row = this.#fleet.table.readSync(termKey(operatorNames[operator]!));
		return row && termSchema.parse(JSON.parse(row.value));
	}

	#write(operator: number, edits: readonly Edit[]): void {
		const id = `w${++this.#writeCount}`;
		const name = operatorNames[operator]!;
		this.#deliver(operator, {type: 'write', id, operator: name, edits});
	}

	#deliver(index: number, message: WriterMessage): void {
		const operator = this.#operators[index]!;
		const {clock} = this.#fleet;
		if (operator.pausedUntil > clock.now) {
			clock.at(operator.pausedUntil, () => {
				this.#deliver(index, message);
			});
			return;
		}

		for (const effect of operator.machine.handle(message, clock.now)) {
			this.#applyEffect(index, effect);
		}

		const wake = operator.machine.nextWake();
		if (wake !== undefined && wake < (operator.wakeAt ?? Infinity)) {
			operator.wakeAt = wake;
			clock.at(wake, () => {
				operator.wakeAt = undefined;
				this.#deliver(index, {type: 'tick'});
			});
		}
	}

	#applyEffect(index: number, effect: WriterEffect): void {
		if (effect.type === 'result') {
			this.#results.set(effect.id, effect.result);
		} else if (effect.type === 'table') {
			const {id, call} = effect;
			this.#table.call(call, (answer) => {
				this.#deliver(index, {type: 'table', id, answer});
			});
		}
	}

	#log(): LogEntry[] {
		return this.#fleet.table
			.scanSync(logPrefix, '', Infinity)
			.map((row) => logEntrySchema.parse(JSON.parse(row.value)));
	}

	#checkApply(process: number, entry: LogEntry): void {
		const last = this.#appliedRevisions[process]!;
		const expected = this.#log()[entry.revision - 1];
		if (entry.revision !== last + 1 || !isDeepStrictEqual(expected, entry)) {
			const detail = `process ${process} applies ${JSON.stringify(entry)} after revision ${last}`;
			this.violations.push({invariant: 'never reverts', detail});
		}

		this.#appliedRevisions[process] = entry.revision;
	}

	#checkReset(
		process: number,
		revision: number,
		records: ReadonlyMap<string, unknown>,
	): void {
		const last = this.#appliedRevisions[process]!;
		const minimum = Math.max(last, this.#startHeads[process] ?? 0);
		const expected = replay(this.#log().slice(0, revision));
		if (revision < minimum || !isDeepStrictEqual(new Map(records), expected)) {
			const detail = `process ${process} resets to revision ${revision} after ${minimum} with ${formatRecords(records)}, expected ${formatRecords(expected)}`;
			this.violations.push({invariant: 'never reverts', detail});
		}

		this.#appliedRevisions[process] = revision;
	}

	#checkEnd(): void {
		const log = this.#log();
		const head = headRevision(this.#fleet.table.readSync(headKey));
		for (let process = 0; process < processCount; process++) {
			const revision = this.#fleet.revision(process);
			if (revision !== head) {
				const detail = `process ${process} has revision ${revision}, the table has ${head}`;
				this.violations.push({invariant: 'in force everywhere', detail});
			}
		}

		const rows = this.#fleet.table.scanSync(recordPrefix, '', Infinity);
		const stored = new Map<string, unknown>(
			rows.map((row) => [row.key, JSON.parse(row.value)]),
		);
		if (!isDeepStrictEqual(stored, replay(log))) {
			const detail = 'the stored records differ from a replay of the log';
			this.violations.push({invariant: 'accepted write is not lost', detail});
		}

		this.#checkResults(log);
		this.#checkTerms(log);
	}

	#checkResults(log: readonly LogEntry[]): void {
		for (let write = 1; write <= this.#writeCount; write++) {
			const id = `w${write}`;
			const result = this.#results.get(id);
			const entries = log.filter((entry) => entry.writeId === id);
			const isConsistent =
				result?.type === 'accepted'
					? entries.length === 1 && entries[0]!.revision === result.revision
					: result?.type === 'unknown'
						? entries.length <= 1
						: result !== undefined && entries.length === 0;
			if (!isConsistent) {
				const detail = `write ${id} is in the log ${entries.length} times, its operator got the result ${JSON.stringify(result)}`;
				this.violations.push({invariant: 'accepted write is not lost', detail});
			}
		}
	}

	#checkTerms(log: readonly LogEntry[]): void {
		for (const [index, {revision, operator}] of log.entries()) {
			const key = termKey(operator);
			const before = replay(log.slice(0, Math.max(1, index))).get(key);
			const term = termSchema.safeParse(before).data;
			const end = term?.endsAtRevision ?? Infinity;
			if (!term || revision < term.startsAtRevision || revision > end) {
				const detail = `${operator} wrote revision ${revision}; its term was ${JSON.stringify(term)}`;
				this.violations.push({invariant: 'ended term refuses', detail});
			}
		}
	}
}

function termEdit(operator: number, fields: object): Edit {
	const name = operatorNames[operator]!;
	const record = {schema: 1, kind: 'term', name, ...fields};
	return {kind: 'term', name, record};
}

function replay(log: readonly LogEntry[]): Map<string, unknown> {
	const records = new Map<string, unknown>();
	for (const {key, record} of log.flatMap((entry) => entry.changes)) {
		if (record === null) {
			records.delete(key);
		} else {
			records.set(key, record);
		}
	}

	return records;
}

function formatRecords(records: ReadonlyMap<string, unknown>): string {
	return JSON.stringify([...records]);
}
