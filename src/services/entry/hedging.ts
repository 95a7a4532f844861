import type {EntryToSidecar, Update} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import type {CallerOutput} from './caller-output.js';
import type {EntryAttempt, Progress} from './progress.js';

/** A first token is late after this multiple of the time that the sidecar promised. */
const lateFactor = 2;

/** Part of the target for the first token that is waited at least, so that a hedge can still meet it. */
const leastWait = 0.5;

export type HedgingParts = {
	readonly output: CallerOutput;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Second attempts for tight idempotent requests whose first token is late; the first to deliver wins, and the other is cancelled. */
export class Hedging {
	readonly #parts: HedgingParts;

	constructor(parts: HedgingParts) {
		this.#parts = parts;
	}

	/** Sets the time at which the attempt that has just been sent counts as late. */
	plan(progress: Progress, promisedMs: number, now: number): void {
		const {idempotent, profile} = progress.request;
		const {tier, firstTokenMs} = profile.contract;
		const isTight = tier === 0 && profile.kind === 'model';
		progress.hedgeAt =
			isTight && idempotent && progress.attempts === 1
				? now + Math.max(promisedMs * lateFactor, firstTokenMs * leastWait)
				: undefined;
	}

	/** Handles an update of the hedge; returns true when the hedge has won, and the update is the request's. */
	update(progress: Progress, hedge: EntryAttempt, update: Update): boolean {
		switch (update.type) {
			case 'started': {
				return false;
			}

			case 'head': {
				hedge.head = update;
				return false;
			}

			case 'refused': {
				progress.hedge = undefined;
				return false;
			}

			case 'chunk': {
				this.#win(progress);
				return true;
			}

			case 'ended': {
				if (update.outcome === 'completed') {
					this.#win(progress);
					return true;
				}

				progress.ranBefore = true;
				progress.hedge = undefined;
				return false;
			}
		}
	}

	/** Goes on with the hedge when the first attempt is over; returns false when there is none. */
	takeOver(progress: Progress): boolean {
		const {hedge} = progress;
		if (!hedge) {
			return false;
		}

		progress.attempt = hedge;
		progress.hedge = undefined;
		if (hedge.head) {
			this.#parts.output.head(progress, hedge.head);
		}

		return true;
	}

	/** Cancels the hedge, and notes what is not known of it. */
	drop(progress: Progress): void {
		progress.hedgeAt = undefined;
		const {hedge} = progress;
		if (!hedge) {
			return;
		}

		progress.hedge = undefined;
		progress.ranBefore ||= hedge.started;
		progress.doubtful ||= !hedge.started;
		this.#cancel(hedge);
	}

	#win(progress: Progress): void {
		const loser = progress.attempt;
		this.takeOver(progress);
		if (loser) {
			this.#cancel(loser);
		}
	}

	#cancel({endpoint, id}: EntryAttempt): void {
		this.#parts.send(endpoint, {type: 'cancel', attempt: id});
	}
}
