import {runKey, type TableAnswer} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {
	Ledger,
	revocationWork,
	type LedgerOutput,
	type RunResult,
} from '../ledger/index.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Maximum time that a caller waits for the revocation of a lost attempt, in milliseconds. */
const revocationTimeoutMs = 2000;

/** Run record of a lost attempt after the revocation, unless the table was unavailable. */
export type RevocationResult = {
	readonly attempt: string;
	readonly result: RunResult;
};

/** Effects to execute and revocations that have finished. */
export type RevocationOutput = {
	readonly effects: CommonEffect[];
	readonly results: RevocationResult[];
};

/** Revokes lost attempts in their run records. A revoked attempt has not run and cannot run any more; the revocation fails when the attempt has already claimed its run. */
export class Revocations {
	readonly #ledger = new Ledger('revocations');
	readonly #epochMs: number;

	/** `epochMs` is the wall-clock time at monotonic time 0, in milliseconds since 1970. */
	constructor(epochMs: number) {
		this.#epochMs = epochMs;
	}

	nextWake(): number | undefined {
		return this.#ledger.nextWake();
	}

	begin(
		progress: Progress,
		attempt: EntryAttempt,
		now: number,
	): RevocationOutput {
		const {request, superseded} = progress;
		const frame = {
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
			this.#ledger.begin(revocationWork(frame, attempt.id, superseded), now),
		);
	}

	answer(tableId: string, answer: TableAnswer, now: number): RevocationOutput {
		return collect(this.#ledger.answer(tableId, answer, now));
	}

	advance(now: number): RevocationOutput {
		return collect(this.#ledger.advance(now));
	}
}

function collect({effects, settled}: LedgerOutput): RevocationOutput {
	return {
		effects,
		results: settled.map(({id, result}) => ({attempt: id, result})),
	};
}
