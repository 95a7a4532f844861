import type {Random} from '../../base/index.js';
import {
	logEntrySchema,
	logKey,
	logPrefix,
	type Decision,
	type LogEntry,
	type Row,
	type TableAnswer,
	type TableCall,
	type Transaction,
} from '../../interfaces/index.js';
import type {
	Edit,
	WriteResult,
	WriterEffect,
	WriterMessage,
} from './message.js';
import {
	editKey,
	editProblems,
	keysToRead,
	planWrite,
	readStored,
} from './plan.js';

/** Table operations of one write that may fail before it gives up. */
const maxFailures = 6;
/** Rounds of reading and committing of one write that others may overtake before it gives up. */
const maxRounds = 8;
/** First delay before a failed operation is tried again, in milliseconds; doubles with each failure, with jitter. */
const firstRetryMs = 50;
/** Log entries searched for the write that deleted a record. */
const searchLimit = 1000;

type Step =
	| {type: 'read'; waiting: Set<string>; rows: Map<string, Row | undefined>}
	| {type: 'commit'}
	/** Reads the log at the revision that the lost commit would have had. */
	| {type: 'settle'}
	/** Searches the log for the write that deleted the record. */
	| {type: 'search'; result: Extract<WriteResult, {type: 'conflict'}>};

type Write = {
	readonly id: string;
	readonly operator: string;
	readonly edits: readonly Edit[];
	/** Record revisions that the write is based on, by key; filled by the first reading where the operator gave none. */
	readonly expected: Map<string, number>;
	/** Absent for an earlier write that is only settled. */
	transaction?: Transaction;
	/** Revision that the transaction gives the configuration. */
	revision: number;
	/** A commit of the present transaction may have taken effect. */
	uncertain: boolean;
	step: Step;
	rounds: number;
	failures: number;
	/** Counts table operations, so that a late answer of an earlier one is ignored. */
	operation: number;
	/** Time of the next try of the present step. */
	retryAt?: number;
};

function entryOf(row: Row): LogEntry {
	return logEntrySchema.parse(JSON.parse(row.value));
}

/** Carries out operators' writes: each is one transaction, and a lost answer is settled by its write id. */
export class Writer {
	readonly #random: Random;
	readonly #writes = new Map<string, Write>();
	/** Table operations without an answer, by their id. */
	readonly #calls = new Map<
		string,
		{readonly write: Write; readonly operation: number; readonly key: string}
	>();

	#effects: WriterEffect[] = [];

	constructor(random: Random) {
		this.#random = random;
	}

	handle(message: WriterMessage, now: number): WriterEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'write': {
				this.#onWrite(message);
				break;
			}

			case 'settle': {
				this.#onSettle(message.id, message.revision);
				break;
			}

			case 'table': {
				this.#onTable(message.id, message.answer, now);
				break;
			}

			case 'tick': {
				for (const write of this.#writes.values()) {
					if (write.retryAt !== undefined && write.retryAt <= now) {
						write.retryAt = undefined;
						this.#issue(write);
					}
				}

				break;
			}
		}

		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [...this.#writes.values()]
			.map((write) => write.retryAt)
			.filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return [...this.#writes.values()].map(
			({id, operator, revision, uncertain, step, rounds, failures}) => ({
				id,
				operator,
				revision,
				uncertain,
				step: step.type,
				rounds,
				failures,
			}),
		);
	}

	#onWrite(message: Extract<WriterMessage, {type: 'write'}>): void {
		const {id, operator, edits} = message;
		if (this.#writes.has(id)) {
			return;
		}

		const problems = editProblems(edits);
		if (problems.length > 0) {
			this.#effects.push({
				type: 'result',
				id,
				result: {type: 'invalid', problems},
			});
			return;
		}

		const expected = new Map<string, number>();
		for (const edit of edits) {
			if (edit.expected !== undefined) {
				expected.set(editKey(edit), edit.expected);
			}
		}

		this.#start({id, operator, edits, expected, revision: 0}, 'read');
	}

	#onSettle(id: string, revision: number): void {
		if (!this.#writes.has(id)) {
			const expected = new Map<string, number>();
			this.#start({id, operator: '', edits: [], expected, revision}, 'settle');
		}
	}

	#start(
		write: Pick<Write, 'id' | 'operator' | 'edits' | 'expected' | 'revision'>,
		step: 'read' | 'settle',
	): void {
		const started: Write = {
			...write,
			uncertain: step === 'settle',
			step:
				step === 'settle'
					? {type: 'settle'}
					: {type: 'read', waiting: new Set(), rows: new Map()},
			rounds: 1,
			failures: 0,
			operation: 0,
		};
		this.#writes.set(write.id, started);
		this.#issue(started);
	}

	#issue(write: Write): void {
		write.operation++;
		switch (write.step.type) {
			case 'read': {
				const {waiting, rows} = write.step;
				waiting.clear();
				rows.clear();
				for (const key of keysToRead(write.operator, write.edits)) {
					waiting.add(key);
					this.#call(write, {type: 'read', key}, key);
				}

				break;
			}

			case 'commit': {
				if (write.transaction) {
					const {transaction} = write;
					this.#call(write, {type: 'commit', transaction});
				}

				break;
			}

			case 'settle': {
				this.#call(write, {type: 'read', key: logKey(write.revision)});
				break;
			}

			case 'search': {
				const after = logKey(write.expected.get(write.step.result.key) ?? 0);
				const limit = searchLimit;
				this.#call(write, {type: 'scan', prefix: logPrefix, after, limit});
				break;
			}
		}
	}

	#call(write: Write, call: TableCall, key = ''): void {
		const {operation} = write;
		const id = `${write.id}#${operation}#${key}`;
		this.#calls.set(id, {write, operation, key});
		this.#effects.push({type: 'table', id, call});
	}

	#onTable(callId: string, answer: TableAnswer, now: number): void {
		const call = this.#calls.get(callId);
		this.#calls.delete(callId);
		if (
			!call ||
			this.#writes.get(call.write.id) !== call.write ||
			call.operation !== call.write.operation ||
			call.write.retryAt !== undefined
		) {
			return;
		}

		const {write, key} = call;
		switch (answer.type) {
			case 'row': {
				this.#onRow(write, key, answer.row, now);
				break;
			}

			case 'rows': {
				this.#onSearched(write, answer.rows);
				break;
			}

			case 'decision': {
				this.#onDecision(write, answer.decision, now);
				break;
			}

			case 'uncertain': {
				write.uncertain = true;
				write.step = {type: 'settle'};
				this.#retry(write, now);
				break;
			}

			case 'unavailable': {
				if (write.step.type === 'search') {
					this.#end(write, write.step.result);
				} else {
					this.#retry(write, now);
				}

				break;
			}
		}
	}

	#onRow(write: Write, key: string, row: Row | undefined, now: number): void {
		if (write.step.type === 'settle') {
			this.#onSettled(write, row, now);
			return;
		}

		if (write.step.type !== 'read') {
			return;
		}

		const {waiting, rows} = write.step;
		rows.set(key, row);
		waiting.delete(key);
		if (waiting.size === 0) {
			this.#plan(write, rows);
		}
	}

	#plan(write: Write, rows: ReadonlyMap<string, Row | undefined>): void {
		for (const edit of write.edits) {
			const key = editKey(edit);
			if (!write.expected.has(key)) {
				write.expected.set(key, readStored(rows.get(key))?.meta?.revision ?? 0);
			}
		}

		const plan = planWrite(write, rows, write.expected);
		if (plan.type === 'commit') {
			write.transaction = plan.transaction;
			write.revision = plan.revision;
			write.step = {type: 'commit'};
			this.#issue(write);
		} else if (plan.result.type === 'conflict' && !plan.result.theirs) {
			write.step = {type: 'search', result: plan.result};
			this.#issue(write);
		} else {
			this.#end(write, plan.result);
		}
	}

	#onDecision(write: Write, decision: Decision, now: number): void {
		if (decision.type === 'committed') {
			this.#end(write, {type: 'accepted', revision: write.revision});
		} else if (write.uncertain) {
			// An earlier copy of this transaction may be the one that moved the head.
			write.step = {type: 'settle'};
			this.#issue(write);
		} else {
			this.#overtaken(write, now);
		}
	}

	/** Another write moved a row on which this one depends. */
	#overtaken(write: Write, now: number): void {
		if (write.rounds >= maxRounds) {
			this.#end(write, {type: 'notAccepted', reason: 'busy'});
			return;
		}

		write.rounds++;
		write.uncertain = false;
		write.step = {type: 'read', waiting: new Set(), rows: new Map()};
		write.retryAt = now + this.#random.next() * firstRetryMs * write.rounds;
	}

	/** Only one transaction can take a revision, so the log entry there decides. */
	#onSettled(write: Write, row: Row | undefined, now: number): void {
		if (row) {
			if (entryOf(row).writeId === write.id) {
				this.#end(write, {type: 'accepted', revision: write.revision});
			} else if (write.transaction) {
				this.#overtaken(write, now);
			} else {
				this.#end(write, {type: 'notAccepted', reason: 'busy'});
			}
		} else if (write.transaction) {
			// The lost commit may still arrive. A second copy is safe, because both check the same head.
			write.step = {type: 'commit'};
			this.#retry(write, now);
		} else {
			this.#end(write, {type: 'unknown', revision: write.revision});
		}
	}

	#onSearched(write: Write, rows: readonly Row[]): void {
		if (write.step.type !== 'search') {
			return;
		}

		const {result} = write.step;
		const winner = rows
			.map((row) => entryOf(row))
			.findLast((entry) =>
				entry.changes.some((change) => change.key === result.key),
			);
		this.#end(write, {...result, winner});
	}

	#retry(write: Write, now: number): void {
		write.failures++;
		if (write.failures > maxFailures) {
			this.#end(
				write,
				write.uncertain
					? {type: 'unknown', revision: write.revision}
					: {type: 'notAccepted', reason: 'unavailable'},
			);
			return;
		}

		write.operation++;
		const delay = firstRetryMs * 2 ** write.failures;
		write.retryAt = now + delay * (0.5 + this.#random.next());
	}

	#end(write: Write, result: WriteResult): void {
		this.#writes.delete(write.id);
		this.#effects.push(
			{
				type: 'count',
				name: 'records.writes',
				value: 1,
				tags: {result: result.type},
			},
			{type: 'result', id: write.id, result},
		);
	}
}
