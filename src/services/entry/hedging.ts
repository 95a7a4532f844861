import type {EntryToSidecar, Update} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import type {CallerOutput} from './caller-output.js';
import type {EntryAttempt, Progress} from './progress.js';

/** A first token is late after this multiple of the time promised by the sidecar. */
const lateFactor = 2;

/** Minimum fraction of the first-token target that passes before a hedge; the rest is left for the hedge to meet the target. */
const minWaitFraction = 0.5;

export type HedgingOptions = {
	readonly output: CallerOutput;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Hedges idempotent requests of tier 0 whose first token is late: of two parallel attempts the first to deliver wins, and the other is cancelled. */
export class Hedging {
	readonly #options: HedgingOptions;

	constructor(options: HedgingOptions) {
		this.#options = options;
	}

	/** Sets the time at which to hedge the attempt that has just been started. */
	plan(progress: Progress, promisedMs: number, now: number): void {
		const {idempotent, profile} = progress.request;
		const {tier, firstTokenMs} = profile.contract;
		const isTight = tier === 0 && profile.kind === 'model';
		progress.hedgeAt =
			isTight && idempotent && progress.attempts === 1
				? now +
					Math.max(promisedMs * lateFactor, firstTokenMs * minWaitFraction)
				: undefined;
	}

	/** Handles an update of the hedge; returns true when the hedge has won, and the update must be handled as that of the request's attempt. */
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

				progress.hasStartedBefore = true;
				progress.hedge = undefined;
				return false;
			}
		}
	}

	/** Makes the hedge the attempt of the request; returns false when there is no hedge. */
	promote(progress: Progress): boolean {
		const {hedge} = progress;
		if (!hedge) {
			return false;
		}

		progress.attempt = hedge;
		progress.hedge = undefined;
		if (hedge.head) {
			this.#options.output.head(progress, hedge.head);
		}

		return true;
	}

	/** Cancels the hedge, and records whether it has started or may have. */
	drop(progress: Progress): void {
		progress.hedgeAt = undefined;
		const {hedge} = progress;
		if (!hedge) {
			return;
		}

		progress.hedge = undefined;
		progress.hasStartedBefore ||= hedge.started;
		progress.hasUncertainAttempt ||= !hedge.started;
		this.#cancel(hedge);
	}

	#win(progress: Progress): void {
		const loser = progress.attempt;
		this.promote(progress);
		if (loser) {
			this.#cancel(loser);
		}
	}

	#cancel({endpoint, id}: EntryAttempt): void {
		this.#options.send(endpoint, {type: 'cancel', attempt: id});
	}
}
