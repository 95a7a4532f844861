import {runKey, type TableAnswer} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {
	RunRecordWriter,
	revocationOperation,
	type RunRecordWriterOutput,
	type RunOperationResult,
} from '../run-records/index.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Maximum time that a caller waits for the revocation of a lost attempt, in milliseconds. */
const revocationTimeoutMs = 2000;

/** Run record of a lost attempt after the revocation, unless the table was unavailable. */
export type RevocationResult = {
	readonly attempt: string;
	readonly result: RunOperationResult;
};

/** Effects to execute and revocations that have finished. */
export type RevocationOutput = {
	readonly effects: CommonEffect[];
	readonly results: RevocationResult[];
};

/** Revokes lost attempts in their run records. A revoked attempt has not run and cannot run any more; the revocation fails when the attempt has already claimed its run. */
export class Revocations {
	readonly #runRecordWriter = new RunRecordWriter('revocations');
	readonly #epochMs: number;

	/** `epochMs` is the wall-clock time at monotonic time 0, in milliseconds since 1970. */
	constructor(epochMs: number) {
		this.#epochMs = epochMs;
	}

	nextWake(): number | undefined {
		return this.#runRecordWriter.nextWake();
	}

	begin(
		progress: Progress,
		attempt: EntryAttempt,
		now: number,
	): RevocationOutput {
		const {request, superseded} = progress;
		const base = {
			id: attempt.id,
			key: runKey(
				request.profile.contract.workspace,
				request.idempotencyKey ?? request.id,
			),
			known: {type: 'absent'},
			giveUpAt: now + revocationTimeoutMs,
			persistent: true,
			wallNow: this.#epochMs + now,
		} as const;
		return collect(
			this.#runRecordWriter.begin(
				revocationOperation(base, attempt.id, superseded),
				now,
			),
		);
	}

	answer(tableId: string, answer: TableAnswer, now: number): RevocationOutput {
		return collect(this.#runRecordWriter.answer(tableId, answer, now));
	}

	advance(now: number): RevocationOutput {
		return collect(this.#runRecordWriter.advance(now));
	}
}

function collect({effects, settled}: RunRecordWriterOutput): RevocationOutput {
	return {
		effects,
		results: settled.map(({id, result}) => ({attempt: id, result})),
	};
}
