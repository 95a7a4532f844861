import {Timers} from '../../base/index.js';
import type {
	RunRecord,
	TableAnswer,
	TableCall,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {
	parseRunRow,
	type RunOperationResult,
	type RunRow,
	type RunOperation,
} from './operation.js';

/** Delay before the first retry, in milliseconds; doubles with each retry up to `maxRetryDelayMs`. */
const initialRetryDelayMs = 100;

const maxRetryDelayMs = 5000;

type TableEffect = Extract<CommonEffect, {type: 'table'}>;

type PendingOperation = {
	readonly operation: RunOperation;
	row: RunRow;
	/** The last write sent, which is in flight or of unknown effect; a null record deletes the row. */
	unconfirmedWrite: {readonly record: RunRecord | null} | undefined;
	/** Whether a write may have taken effect although its answer was lost. */
	uncertain: boolean;
	/** Increases with each table call and each retry delay; answers to earlier calls are ignored. */
	callNumber: number;
	phase: 'reading' | 'committing' | 'pausing';
	retryDelayMs: number;
};

/** Table calls to make and operations that ended while one message was handled. */
export type RunRecordWriterOutput = {
	readonly effects: TableEffect[];
	readonly settled: Array<{
		readonly id: string;
		readonly result: RunOperationResult;
	}>;
};

/**
 * Executes operations on run records. Each write is conditional on the row
 * that the operation last read. After a write whose answer was lost, the row
 * is read first: its write id shows whether the write took effect.
 */
export class RunRecordWriter {
	readonly #pendingOperations = new Map<string, PendingOperation>();
	readonly #timers = new Timers();
	readonly #idPrefix: string;
	#output: RunRecordWriterOutput = {effects: [], settled: []};

	/** `prefix` begins the ids of the table calls, which distinguishes their answers from those to calls of other components; it contains no colon. */
	constructor(prefix: string) {
		this.#idPrefix = prefix;
	}

	get size(): number {
		return this.#pendingOperations.size;
	}

	begin(operation: RunOperation, now: number): RunRecordWriterOutput {
		this.#output = {effects: [], settled: []};
		const pending: PendingOperation = {
			operation,
			row: operation.known,
			unconfirmedWrite: undefined,
			uncertain: false,
			callNumber: 0,
			phase: 'pausing',
			retryDelayMs: initialRetryDelayMs,
		};
		this.#pendingOperations.set(operation.id, pending);
		this.#timers.set(operation.id, operation.giveUpAt);
		this.#executeStep(pending, now);
		return this.#output;
	}

	/** Discards an operation without a result; a write of it that is in flight may still take effect. */
	drop(id: string): void {
		this.#pendingOperations.delete(id);
		this.#timers.delete(id);
	}

	/** Handles an answer of the table; ignores answers to calls of other components and to earlier calls. */
	answer(
		tableId: string,
		answer: TableAnswer,
		now: number,
	): RunRecordWriterOutput {
		this.#output = {effects: [], settled: []};
		const [prefix, callNumber, ...rest] = tableId.split(':');
		const pending = this.#pendingOperations.get(rest.join(':'));
		if (
			prefix === this.#idPrefix &&
			pending &&
			String(pending.callNumber) === callNumber
		) {
			this.#onAnswer(pending, answer, now);
		}

		return this.#output;
	}

	/** Ends operations whose `giveUpAt` has passed and retries those whose delay is over. */
	advance(now: number): RunRecordWriterOutput {
		this.#output = {effects: [], settled: []};
		for (const id of this.#timers.takeDue(now)) {
			const pending = this.#pendingOperations.get(id)!;
			if (pending.operation.giveUpAt <= now) {
				const isInFlight = pending.phase === 'committing';
				this.#settle(pending, {
					type: 'unavailable',
					uncertain: pending.uncertain || isInFlight,
				});
			} else if (pending.uncertain) {
				this.#readRow(pending);
			} else {
				this.#executeStep(pending, now);
			}
		}

		return this.#output;
	}

	nextWake(): number | undefined {
		return this.#timers.earliest();
	}

	#onAnswer(pending: PendingOperation, answer: TableAnswer, now: number): void {
		switch (answer.type) {
			case 'row': {
				this.#onRow(pending, parseRunRow(answer.row), now);
				break;
			}

			case 'decision': {
				if (answer.decision.type === 'committed') {
					this.#onCommitted(pending, answer.decision.revision);
				} else {
					this.#onRow(pending, parseRunRow(answer.decision.current), now);
				}

				break;
			}

			case 'unavailable': {
				if (pending.uncertain || pending.operation.persistent) {
					this.#scheduleRetry(pending, now);
				} else {
					this.#settle(pending, {type: 'unavailable', uncertain: false});
				}

				break;
			}

			case 'uncertain': {
				pending.uncertain ||= pending.phase === 'committing';
				this.#readRow(pending);
				break;
			}

			case 'rows': {
				break;
			}
		}
	}

	#onRow(pending: PendingOperation, row: RunRow, now: number): void {
		pending.row = row;
		const isOwnWrite =
			row.type === 'present' &&
			row.record.writeId === pending.operation.writeId;
		const isDeleted =
			row.type === 'absent' && pending.unconfirmedWrite?.record === null;
		if (isOwnWrite && pending.unconfirmedWrite) {
			this.#settle(pending, {type: 'written', row});
		} else if (isDeleted) {
			this.#settle(pending, {type: 'written', row});
		} else {
			this.#executeStep(pending, now);
		}
	}

	#onCommitted(pending: PendingOperation, revision: number): void {
		const record = pending.unconfirmedWrite?.record;
		this.#settle(pending, {
			type: 'written',
			row: record ? {type: 'present', record, revision} : {type: 'absent'},
		});
	}

	#executeStep(pending: PendingOperation, now: number): void {
		const step = pending.operation.decide(pending.row);
		if (step.type === 'stop') {
			this.#settle(pending, {type: 'stopped', row: pending.row});
			return;
		}

		const {key, giveUpAt} = pending.operation;
		if (giveUpAt <= now) {
			this.#settle(pending, {
				type: 'unavailable',
				uncertain: pending.uncertain,
			});
			return;
		}

		pending.unconfirmedWrite = {record: step.record};
		pending.phase = 'committing';
		const revision = pending.row.type === 'present' ? pending.row.revision : 0;
		this.#callTable(pending, {
			type: 'commit',
			transaction: {
				checks: [{key, revision}],
				writes: [
					{key, value: step.record ? JSON.stringify(step.record) : null},
				],
			},
		});
	}

	#readRow(pending: PendingOperation): void {
		pending.phase = 'reading';
		this.#callTable(pending, {type: 'read', key: pending.operation.key});
	}

	#scheduleRetry(pending: PendingOperation, now: number): void {
		pending.callNumber++;
		pending.phase = 'pausing';
		this.#timers.set(
			pending.operation.id,
			Math.min(pending.operation.giveUpAt, now + pending.retryDelayMs),
		);
		pending.retryDelayMs = Math.min(maxRetryDelayMs, pending.retryDelayMs * 2);
	}

	#callTable(pending: PendingOperation, call: TableCall): void {
		pending.callNumber++;
		this.#timers.set(pending.operation.id, pending.operation.giveUpAt);
		const id = `${this.#idPrefix}:${pending.callNumber}:${pending.operation.id}`;
		this.#output.effects.push({type: 'table', id, call});
	}

	#settle(pending: PendingOperation, result: RunOperationResult): void {
		this.drop(pending.operation.id);
		this.#output.settled.push({id: pending.operation.id, result});
	}
}
