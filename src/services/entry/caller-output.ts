import type {Outcome, RunCompletion, Update} from '../../interfaces/index.js';
import {formatEventId} from './event-id.js';
import {repeatResult} from './failures.js';
import type {EntryEffect, Failure} from './message.js';
import {isGenerated, type EntryAttempt, type Progress} from './progress.js';

type Head = Pick<
	Extract<Update, {type: 'head'}>,
	'status' | 'headers' | 'binary'
>;

/** Emits the answer of a request to its caller: each part once and in order, and exactly one end. */
export class CallerOutput {
	readonly #emit: (effect: EntryEffect) => void;

	constructor(emit: (effect: EntryEffect) => void) {
		this.#emit = emit;
	}

	head(progress: Progress, head: Head): void {
		if (progress.isHeadSent) {
			return;
		}

		progress.isHeadSent = true;
		progress.status = head.status;
		this.#emit({
			type: 'head',
			requestId: progress.request.id,
			status: head.status,
			headers: head.headers,
			binary: head.binary,
		});
	}

	/** Emits the next chunk, and buffers it when another endpoint could continue the answer. */
	chunk(progress: Progress, attempt: EntryAttempt, data: string): void {
		progress.sequence++;
		if (progress.request.idempotent && isGenerated(progress)) {
			progress.answer.add(data);
		}

		this.#emit({
			type: 'chunk',
			requestId: progress.request.id,
			eventId: formatEventId({
				endpoint: attempt.endpoint.name,
				attempt: attempt.id,
				sequence: progress.sequence,
			}),
			sequence: progress.sequence,
			data,
		});
	}

	/** Emits the rest of the answer that a run record holds; ends the request with a failure when it holds none. */
	recorded(
		progress: Progress,
		attempt: EntryAttempt,
		record: RunCompletion,
	): void {
		const {answer, outcome, status} = record;
		if (outcome !== 'completed' || !answer) {
			const known = repeatResult({state: outcome, status});
			this.end(progress, known.outcome, known.failure);
			return;
		}

		this.head(progress, {...answer, status: status ?? 200});
		for (const data of answer.chunks.slice(progress.sequence)) {
			this.chunk(progress, attempt, data);
		}

		this.end(progress, 'completed');
	}

	end(progress: Progress, outcome: Outcome, failure?: Failure): void {
		progress.ended = true;
		progress.outcome = outcome;
		this.#emit({
			type: 'end',
			requestId: progress.request.id,
			outcome,
			failure,
			offers: progress.offersSent,
		});
	}
}
