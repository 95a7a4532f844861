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
	parseRecordRow,
} from './plan.js';

/** Failed table calls of one write that are retried; one more ends it. */
const maxFailedCalls = 6;
/** Times that a write is read and committed; it ends as `busy` when other writes committed first each time. */
const maxRounds = 8;
/** Base of the delay before a retry, in milliseconds; doubles with each failed call and is jittered. */
const initialRetryDelayMs = 50;
/** Log entries that are searched for the write that deleted a record. */
const maxSearchedEntries = 1000;

type WriteStep =
	| {type: 'read'; waiting: Set<string>; rows: Map<string, Row | undefined>}
	| {type: 'commit'}
	/** Reads the log entry of the revision that a commit with a lost answer would have got. */
	| {type: 'settle'}
	/** Searches the log for the write that deleted the record. */
	| {type: 'search'; result: Extract<WriteResult, {type: 'conflict'}>};

type PendingWrite = {
	readonly id: string;
	readonly operator: string;
	readonly edits: readonly Edit[];
	/** Record revisions on which the write is based, by key; those that the operator did not give come from the first read. */
	readonly expected: Map<string, number>;
	/** Set by the plan; stays absent for an earlier write whose effect is only looked up. */
	transaction?: Transaction;
	/** Revision of the configuration after the transaction. */
	revision: number;
	/** Whether a commit of the current transaction may have taken effect. */
	uncertain: boolean;
	step: WriteStep;
	/** Times that the write has been read and committed, including the current one. */
	rounds: number;
	failures: number;
	/** Increases with each step and retry; answers to calls of earlier ones are ignored. */
	operation: number;
	/** Time at which the current step is retried. */
	retryAt?: number;
};

function parseLogEntry(row: Row): LogEntry {
	return logEntrySchema.parse(JSON.parse(row.value));
}

/** Executes operators' writes, each as one transaction. When the answer to a commit is lost, the write id in the log shows whether it took effect. */
export class RecordWriter {
	readonly #random: Random;
	readonly #writes = new Map<string, PendingWrite>();
	/** Table calls without an answer, by id. */
	readonly #pendingCalls = new Map<
		string,
		{
			readonly write: PendingWrite;
			readonly operation: number;
			readonly key: string;
		}
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
						this.#startStep(write);
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
		write: Pick<
			PendingWrite,
			'id' | 'operator' | 'edits' | 'expected' | 'revision'
		>,
		step: 'read' | 'settle',
	): void {
		const started: PendingWrite = {
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
		this.#startStep(started);
	}

	#startStep(write: PendingWrite): void {
		write.operation++;
		switch (write.step.type) {
			case 'read': {
				const {waiting, rows} = write.step;
				waiting.clear();
				rows.clear();
				for (const key of keysToRead(write.operator, write.edits)) {
					waiting.add(key);
					this.#callTable(write, {type: 'read', key}, key);
				}

				break;
			}

			case 'commit': {
				if (write.transaction) {
					const {transaction} = write;
					this.#callTable(write, {type: 'commit', transaction});
				}

				break;
			}

			case 'settle': {
				this.#callTable(write, {type: 'read', key: logKey(write.revision)});
				break;
			}

			case 'search': {
				const after = logKey(write.expected.get(write.step.result.key) ?? 0);
				const limit = maxSearchedEntries;
				this.#callTable(write, {type: 'scan', prefix: logPrefix, after, limit});
				break;
			}
		}
	}

	#callTable(write: PendingWrite, call: TableCall, key = ''): void {
		const {operation} = write;
		const id = `${write.id}#${operation}#${key}`;
		this.#pendingCalls.set(id, {write, operation, key});
		this.#effects.push({type: 'table', id, call});
	}

	#onTable(callId: string, answer: TableAnswer, now: number): void {
		const call = this.#pendingCalls.get(callId);
		this.#pendingCalls.delete(callId);
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

	#onRow(
		write: PendingWrite,
		key: string,
		row: Row | undefined,
		now: number,
	): void {
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

	#plan(write: PendingWrite, rows: ReadonlyMap<string, Row | undefined>): void {
		for (const edit of write.edits) {
			const key = editKey(edit);
			if (!write.expected.has(key)) {
				write.expected.set(
					key,
					parseRecordRow(rows.get(key))?.meta?.revision ?? 0,
				);
			}
		}

		const plan = planWrite(write, rows, write.expected);
		if (plan.type === 'commit') {
			write.transaction = plan.transaction;
			write.revision = plan.revision;
			write.step = {type: 'commit'};
			this.#startStep(write);
		} else if (plan.result.type === 'conflict' && !plan.result.theirs) {
			write.step = {type: 'search', result: plan.result};
			this.#startStep(write);
		} else {
			this.#end(write, plan.result);
		}
	}

	#onDecision(write: PendingWrite, decision: Decision, now: number): void {
		if (decision.type === 'committed') {
			this.#end(write, {type: 'accepted', revision: write.revision});
		} else if (write.uncertain) {
			// An earlier commit of this transaction may be the one that moved the head.
			write.step = {type: 'settle'};
			this.#startStep(write);
		} else {
			this.#replan(write, now);
		}
	}

	/** Reads and plans again, because another write changed a row on which this one depends. */
	#replan(write: PendingWrite, now: number): void {
		if (write.rounds >= maxRounds) {
			this.#end(write, {type: 'notAccepted', reason: 'busy'});
			return;
		}

		write.rounds++;
		write.uncertain = false;
		write.step = {type: 'read', waiting: new Set(), rows: new Map()};
		write.retryAt =
			now + this.#random.next() * initialRetryDelayMs * write.rounds;
	}

	/** Handles the log entry of the expected revision: only one transaction can get a revision, so its write id shows whether this write took effect. */
	#onSettled(write: PendingWrite, row: Row | undefined, now: number): void {
		if (row) {
			if (parseLogEntry(row).writeId === write.id) {
				this.#end(write, {type: 'accepted', revision: write.revision});
			} else if (write.transaction) {
				this.#replan(write, now);
			} else {
				this.#end(write, {type: 'notAccepted', reason: 'busy'});
			}
		} else if (write.transaction) {
			// The lost commit may still arrive. To send it again is safe, because both check the same head row.
			write.step = {type: 'commit'};
			this.#retry(write, now);
		} else {
			this.#end(write, {type: 'unknown', revision: write.revision});
		}
	}

	#onSearched(write: PendingWrite, rows: readonly Row[]): void {
		if (write.step.type !== 'search') {
			return;
		}

		const {result} = write.step;
		const winner = rows
			.map((row) => parseLogEntry(row))
			.findLast((entry) =>
				entry.changes.some((change) => change.key === result.key),
			);
		this.#end(write, {...result, winner});
	}

	#retry(write: PendingWrite, now: number): void {
		write.failures++;
		if (write.failures > maxFailedCalls) {
			this.#end(
				write,
				write.uncertain
					? {type: 'unknown', revision: write.revision}
					: {type: 'notAccepted', reason: 'unavailable'},
			);
			return;
		}

		write.operation++;
		const delay = initialRetryDelayMs * 2 ** write.failures;
		write.retryAt = now + delay * (0.5 + this.#random.next());
	}

	#end(write: PendingWrite, result: WriteResult): void {
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
