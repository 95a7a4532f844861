import {runKey, type TableAnswer} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';
import {
	Ledger,
	revocationWork,
	type LedgerOutput,
	type RunResult,
} from '../ledger/index.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Longest wait of a caller for the run record's word on a lost attempt, in milliseconds. */
const revocationMs = 2000;

/** What the run record says of a lost attempt. */
export type RevocationVerdict = {
	readonly attempt: string;
	readonly result: RunResult;
};

/** Result of the revocations' part in a message. */
export type RevocationOutput = {
	readonly effects: CommonEffect[];
	readonly verdicts: RevocationVerdict[];
};

/** Revokes lost attempts in their run records, which proves that they have not run unless they had claimed before. */
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
			giveUpAt: now + revocationMs,
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
		verdicts: settled.map(({id, result}) => ({attempt: id, result})),
	};
}
