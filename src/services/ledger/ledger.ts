import {Timers} from '../../base/index.js';
import type {
	RunRecord,
	TableAnswer,
	TableCall,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {
	parseRunRow,
	type RunResult,
	type RunRow,
	type RunWork,
} from './work.js';

/** First pause before another try, in milliseconds; doubles with each try. */
const firstPauseMs = 100;

const longestPauseMs = 5000;

type TableEffect = Extract<CommonEffect, {type: 'table'}>;

type Job = {
	readonly work: RunWork;
	row: RunRow;
	/** Record of the write in flight or of one whose effect is unknown. */
	writing: {readonly record: RunRecord | null} | undefined;
	uncertain: boolean;
	/** Distinguishes the answer that is waited for from late ones. */
	round: number;
	phase: 'reading' | 'committing' | 'pausing';
	pauseMs: number;
};

/** Result of the ledger's part in a message. */
export type LedgerOutput = {
	readonly effects: TableEffect[];
	readonly settled: Array<{readonly id: string; readonly result: RunResult}>;
};

/**
 * Carries out work on run records: each write is conditional on the row that
 * the work last saw, and a write whose answer was lost is read back by its
 * write id before anything else is decided.
 */
export class Ledger {
	readonly #jobs = new Map<string, Job>();
	readonly #timers = new Timers();
	readonly #prefix: string;
	#output: LedgerOutput = {effects: [], settled: []};

	/** `prefix` starts the ids of the table effects, so that their answers find the way back. */
	constructor(prefix: string) {
		this.#prefix = prefix;
	}

	get size(): number {
		return this.#jobs.size;
	}

	begin(work: RunWork, now: number): LedgerOutput {
		this.#output = {effects: [], settled: []};
		const job: Job = {
			work,
			row: work.known,
			writing: undefined,
			uncertain: false,
			round: 0,
			phase: 'pausing',
			pauseMs: firstPauseMs,
		};
		this.#jobs.set(work.id, job);
		this.#timers.set(work.id, work.giveUpAt);
		this.#step(job, now);
		return this.#output;
	}

	/** Forgets work without a result; a write of it that is in flight may still take effect. */
	drop(id: string): void {
		this.#jobs.delete(id);
		this.#timers.delete(id);
	}

	/** Handles an answer of the table; ignores those of other owners and of earlier rounds. */
	answer(tableId: string, answer: TableAnswer, now: number): LedgerOutput {
		this.#output = {effects: [], settled: []};
		const [prefix, round, ...rest] = tableId.split(':');
		const job = this.#jobs.get(rest.join(':'));
		if (prefix === this.#prefix && job && String(job.round) === round) {
			this.#onAnswer(job, answer, now);
		}

		return this.#output;
	}

	/** Ends or continues the work whose time has come. */
	advance(now: number): LedgerOutput {
		this.#output = {effects: [], settled: []};
		for (const id of this.#timers.takeDue(now)) {
			const job = this.#jobs.get(id)!;
			if (job.work.giveUpAt <= now) {
				const inFlight = job.phase === 'committing';
				this.#settle(job, {
					type: 'unavailable',
					uncertain: job.uncertain || inFlight,
				});
			} else if (job.uncertain) {
				this.#read(job);
			} else {
				this.#step(job, now);
			}
		}

		return this.#output;
	}

	nextWake(): number | undefined {
		return this.#timers.earliest();
	}

	#onAnswer(job: Job, answer: TableAnswer, now: number): void {
		switch (answer.type) {
			case 'row': {
				this.#onRow(job, parseRunRow(answer.row), now);
				break;
			}

			case 'decision': {
				if (answer.decision.type === 'committed') {
					this.#written(job, answer.decision.revision);
				} else {
					this.#onRow(job, parseRunRow(answer.decision.current), now);
				}

				break;
			}

			case 'unavailable': {
				if (job.uncertain || job.work.persistent) {
					this.#pause(job, now);
				} else {
					this.#settle(job, {type: 'unavailable', uncertain: false});
				}

				break;
			}

			case 'uncertain': {
				job.uncertain ||= job.phase === 'committing';
				this.#read(job);
				break;
			}

			case 'rows': {
				break;
			}
		}
	}

	#onRow(job: Job, row: RunRow, now: number): void {
		job.row = row;
		const own =
			row.type === 'present' && row.record.writeId === job.work.writeId;
		const deleted = row.type === 'absent' && job.writing?.record === null;
		if (own && job.writing) {
			this.#settle(job, {type: 'written', row});
		} else if (deleted) {
			this.#settle(job, {type: 'written', row});
		} else {
			this.#step(job, now);
		}
	}

	#written(job: Job, revision: number): void {
		const record = job.writing?.record;
		this.#settle(job, {
			type: 'written',
			row: record ? {type: 'present', record, revision} : {type: 'absent'},
		});
	}

	#step(job: Job, now: number): void {
		const step = job.work.decide(job.row);
		if (step.type === 'stop') {
			this.#settle(job, {type: 'stopped', row: job.row});
			return;
		}

		const {key, giveUpAt} = job.work;
		if (giveUpAt <= now) {
			this.#settle(job, {type: 'unavailable', uncertain: job.uncertain});
			return;
		}

		job.writing = {record: step.record};
		job.phase = 'committing';
		const revision = job.row.type === 'present' ? job.row.revision : 0;
		this.#call(job, {
			type: 'commit',
			transaction: {
				checks: [{key, revision}],
				writes: [
					{key, value: step.record ? JSON.stringify(step.record) : null},
				],
			},
		});
	}

	#read(job: Job): void {
		job.phase = 'reading';
		this.#call(job, {type: 'read', key: job.work.key});
	}

	#pause(job: Job, now: number): void {
		job.round++;
		job.phase = 'pausing';
		this.#timers.set(
			job.work.id,
			Math.min(job.work.giveUpAt, now + job.pauseMs),
		);
		job.pauseMs = Math.min(longestPauseMs, job.pauseMs * 2);
	}

	#call(job: Job, call: TableCall): void {
		job.round++;
		this.#timers.set(job.work.id, job.work.giveUpAt);
		const id = `${this.#prefix}:${job.round}:${job.work.id}`;
		this.#output.effects.push({type: 'table', id, call});
	}

	#settle(job: Job, result: RunResult): void {
		this.drop(job.work.id);
		this.#output.settled.push({id: job.work.id, result});
	}
}
