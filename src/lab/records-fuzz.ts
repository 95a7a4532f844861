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
	Writer,
	type Edit,
	type WriteResult,
	type WriterEffect,
	type WriterMessage,
} from '../services/index.js';
import {FaultyTable, longestCommitDelayMs} from './faulty-table.js';
import {SpreadFleet, type SpreadMachine} from './spread-fleet.js';

/** One step of a scenario; times are in milliseconds of virtual time. */
export type RecordsAction =
	| {
			readonly type: 'write';
			readonly operator: number;
			readonly record: number;
			readonly isDelete: boolean;
	  }
	/** The operator's term ends a few revisions later, and the next operator's follows. */
	| {readonly type: 'handover'; readonly operator: number}
	| {readonly type: 'kill'; readonly process: number}
	| {readonly type: 'pause'; readonly process: number; readonly ms: number}
	| {
			readonly type: 'pauseOperator';
			readonly operator: number;
			readonly ms: number;
	  }
	| {readonly type: 'outage'; readonly ms: number}
	/** Cuts the processes of the bit mask off from the others and from the table. */
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

type WriterMachine = Pick<Writer, 'handle' | 'nextWake'>;

/** State machines to run in place of the real ones. */
export type RecordsVariant = {
	readonly spread?: (id: string, random: Random) => SpreadMachine;
	readonly writer?: (random: Random) => WriterMachine;
};

/** A broken promise: its name and what was seen. */
export type Violation = {
	readonly promise:
		| 'never reverts'
		| 'in force everywhere'
		| 'accepted write is not lost'
		| 'ended term refuses';
	readonly detail: string;
};

const processes = 5;
/** Small enough that every record is a snapshot piece of its own. */
const pieceCharacters = 100;
const operators = ['abay', 'baro', 'didessa'];
/** Time without faults after which everything must have converged. */
const healMs = 60_000;

type Desk = {
	machine: WriterMachine;
	wakeAt: number | undefined;
	pausedUntil: number;
};

/** Runs operators and a fleet through a scenario and compares them with the log of the table. */
export class RecordsFuzz {
	readonly violations: Violation[] = [];
	readonly #fleet: SpreadFleet;
	readonly #random: Random;
	readonly #desks: Desk[];
	readonly #results = new Map<string, WriteResult>();
	readonly #reached = Array.from({length: processes}, () => 0);
	/** Head when each process started, or undefined once it could not read the table properly. */
	readonly #startHeads: Array<number | undefined> = [];
	/** The table as the operators see it. */
	readonly #table: FaultyTable;
	#writes = 0;

	constructor(scenario: RecordsScenario, variant: RecordsVariant = {}) {
		this.#random = new Random(scenario.seed);
		this.#fleet = new SpreadFleet({
			members: processes,
			seed: scenario.seed,
			machine:
				variant.spread ??
				((id, random) => new Spread({id, random, pieceCharacters})),
			onForce: (process, effect) => {
				if (effect.type === 'apply') {
					this.#checkApply(process, effect.entry);
				} else {
					this.#checkReset(process, effect.revision, effect.records);
				}
			},
		});
		const {table, clock} = this.#fleet;
		this.#table = new FaultyTable(table, clock, this.#random);
		this.#desks = operators.map((_, index) => {
			const random = new Random(scenario.seed + index);
			return {
				machine: variant.writer?.(random) ?? new Writer(random),
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
		for (let process = 0; process < processes; process++) {
			this.#start(process);
		}

		fleet.runUntil(5000);
		for (const action of actions) {
			this.#act(action);
			fleet.runUntil(fleet.now + 200);
		}

		this.#heal();
		fleet.runUntil(fleet.now + healMs + longestCommitDelayMs);
		this.#checkEnd();
	}

	#act(action: RecordsAction): void {
		const fleet = this.#fleet;
		switch (action.type) {
			case 'write': {
				const name = `class-${action.record}`;
				const fields = {tier: this.#writes % 10, firstTokenMs: 1, gapMs: 1};
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
				this.#desks[action.operator]!.pausedUntil = fleet.now + action.ms;
				break;
			}

			case 'outage': {
				fleet.tableDown = true;
				this.#table.isDown = true;
				this.#startHeads.fill(undefined);
				fleet.runUntil(fleet.now + action.ms);
				fleet.tableDown = false;
				this.#table.isDown = false;
				break;
			}

			case 'partition': {
				const isIn = (process: number) =>
					Math.floor(action.mask / 2 ** process) % 2 === 1;
				this.#startHeads.fill(undefined);
				fleet.cut = (from, to) => isIn(from) !== (to !== undefined && isIn(to));
				fleet.runUntil(fleet.now + action.ms);
				fleet.cut = undefined;
				break;
			}

			case 'faults': {
				this.#table.uncertain = action.uncertain;
				fleet.loss = action.loss;
				fleet.staleReads = action.stale;
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
		this.#reached[process] = 0;
		const isReadable = !fleet.tableDown && !fleet.cut && fleet.staleReads === 0;
		this.#startHeads[process] = isReadable ? fleet.head() : undefined;
		fleet.start(process);
	}

	#heal(): void {
		this.#table.uncertain = 0;
		this.#fleet.loss = 0;
		this.#fleet.staleReads = 0;
		for (const desk of this.#desks) {
			desk.pausedUntil = 0;
		}

		for (let process = 0; process < processes; process++) {
			this.#fleet.pause(process, 0);
		}
	}

	#handOver(operator: number): void {
		const next = (operator + 1) % operators.length;
		const end = this.#fleet.head() + 3;
		const startsAtRevision = this.#termOf(operator)?.startsAtRevision ?? 1;
		const successor = operators[next]!;
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
		const row = this.#fleet.table.readNow(termKey(operators[operator]!));
		return row && termSchema.parse(JSON.parse(row.value));
	}

	#write(operator: number, edits: readonly Edit[]): void {
		const id = `w${++this.#writes}`;
		const name = operators[operator]!;
		this.#tell(operator, {type: 'write', id, operator: name, edits});
	}

	#tell(index: number, message: WriterMessage): void {
		const desk = this.#desks[index]!;
		const {clock} = this.#fleet;
		if (desk.pausedUntil > clock.now) {
			clock.at(desk.pausedUntil, () => {
				this.#tell(index, message);
			});
			return;
		}

		for (const effect of desk.machine.handle(message, clock.now)) {
			this.#carryOut(index, effect);
		}

		const wake = desk.machine.nextWake();
		if (wake !== undefined && wake < (desk.wakeAt ?? Infinity)) {
			desk.wakeAt = wake;
			clock.at(wake, () => {
				desk.wakeAt = undefined;
				this.#tell(index, {type: 'tick'});
			});
		}
	}

	#carryOut(index: number, effect: WriterEffect): void {
		if (effect.type === 'result') {
			this.#results.set(effect.id, effect.result);
		} else if (effect.type === 'table') {
			const {id, call} = effect;
			this.#table.call(call, (answer) => {
				this.#tell(index, {type: 'table', id, answer});
			});
		}
	}

	#log(): LogEntry[] {
		return this.#fleet.table
			.scanNow(logPrefix, '', Infinity)
			.map((row) => logEntrySchema.parse(JSON.parse(row.value)));
	}

	#checkApply(process: number, entry: LogEntry): void {
		const last = this.#reached[process]!;
		const truth = this.#log()[entry.revision - 1];
		if (entry.revision !== last + 1 || !isDeepStrictEqual(truth, entry)) {
			const detail = `process ${process} applies ${JSON.stringify(entry)} after revision ${last}`;
			this.violations.push({promise: 'never reverts', detail});
		}

		this.#reached[process] = entry.revision;
	}

	#checkReset(
		process: number,
		revision: number,
		records: ReadonlyMap<string, unknown>,
	): void {
		const last = this.#reached[process]!;
		const least = Math.max(last, this.#startHeads[process] ?? 0);
		const truth = replay(this.#log().slice(0, revision));
		if (revision < least || !isDeepStrictEqual(new Map(records), truth)) {
			const detail = `process ${process} resets to ${revision} after ${least}: ${contents(records)}, not ${contents(truth)}`;
			this.violations.push({promise: 'never reverts', detail});
		}

		this.#reached[process] = revision;
	}

	#checkEnd(): void {
		const log = this.#log();
		const head = headRevision(this.#fleet.table.readNow(headKey));
		for (let process = 0; process < processes; process++) {
			const revision = this.#fleet.revision(process);
			if (revision !== head) {
				const detail = `process ${process} has ${revision}, the table ${head}`;
				this.violations.push({promise: 'in force everywhere', detail});
			}
		}

		const rows = this.#fleet.table.scanNow(recordPrefix, '', Infinity);
		const stored = new Map<string, unknown>(
			rows.map((row) => [row.key, JSON.parse(row.value)]),
		);
		if (!isDeepStrictEqual(stored, replay(log))) {
			const detail = 'the records differ from the log';
			this.violations.push({promise: 'accepted write is not lost', detail});
		}

		this.#checkResults(log);
		this.#checkTerms(log);
	}

	#checkResults(log: readonly LogEntry[]): void {
		for (let write = 1; write <= this.#writes; write++) {
			const id = `w${write}`;
			const result = this.#results.get(id);
			const entries = log.filter((entry) => entry.writeId === id);
			const isRight =
				result?.type === 'accepted'
					? entries.length === 1 && entries[0]!.revision === result.revision
					: result?.type === 'unknown'
						? entries.length <= 1
						: result !== undefined && entries.length === 0;
			if (!isRight) {
				const detail = `write ${id} is in the log ${entries.length} times, its operator was told ${JSON.stringify(result)}`;
				this.violations.push({promise: 'accepted write is not lost', detail});
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
				this.violations.push({promise: 'ended term refuses', detail});
			}
		}
	}
}

function termEdit(operator: number, fields: object): Edit {
	const name = operators[operator]!;
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

function contents(records: ReadonlyMap<string, unknown>): string {
	return JSON.stringify([...records]);
}
