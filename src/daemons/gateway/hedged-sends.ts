import type {SendEnd} from '../../services/gateway/index.js';
import type {Send} from './send.js';

/** Sends of one request that are in progress at the same time. The first of them to answer the caller is kept, and the others are cancelled. */
export class HedgedSends {
	/** In the order in which they began. */
	readonly #inProgress = new Set<Send>();

	/** Number of sends in progress. */
	get size(): number {
		return this.#inProgress.size;
	}

	/** Number of sends in progress that may have reached their endpoints. */
	get sentCount(): number {
		return [...this.#inProgress].filter(({isInProgress}) => isInProgress)
			.length;
	}

	add(send: Send): void {
		this.#inProgress.add(send);
	}

	delete(send: Send): void {
		this.#inProgress.delete(send);
	}

	/** Whether no other send has begun since, so that this one may be hedged. */
	isNewest(send: Send): boolean {
		return [...this.#inProgress].at(-1) === send;
	}

	/** Cancels the sends in progress. */
	cancel(end: SendEnd): void {
		for (const send of this.#inProgress) {
			send.cancel(end);
		}
	}

	/** Cancels those that have received no part of an answer. */
	cancelUnanswered(end: SendEnd): void {
		for (const send of this.#inProgress) {
			if (send.firstByteAt === undefined) {
				send.cancel(end);
			}
		}
	}

	/** Cancels all but the send that answers the caller, which must not have been deleted: the later ones only hedge it. */
	keep(kept: Send): void {
		let isEarlier = true;
		for (const send of this.#inProgress) {
			if (send === kept) {
				isEarlier = false;
			} else {
				send.cancel(
					isEarlier
						? {type: 'moved', reason: 'another endpoint has begun to answer'}
						: {type: 'superseded'},
				);
			}
		}
	}
}
