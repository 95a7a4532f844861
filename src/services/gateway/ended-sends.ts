import type {PromptPart} from '../../interfaces/index.js';

/** Time after the end of its send in which a request may still crash its endpoint, in milliseconds; later the endpoint has cancelled it. */
const watchedMs = 900;

/** Sends kept for each endpoint, the latest ones, against callers that leave again and again. */
const maxKept = 32;

/** Request that its endpoint had not answered when its send ended. */
export type EndedSend = {
	readonly requestId: string;
	readonly fingerprints: readonly number[];
	readonly parts: readonly PromptPart[];
	/** Time of the end, in milliseconds of the monotonic clock. */
	readonly at: number;
};

/**
 * Sends to one incarnation of an endpoint that ended unanswered, until it is
 * known that it has not crashed under them. Needed when a request ends at the
 * gateway before it crashes its endpoint, as its caller has left or its deadline
 * has passed.
 */
export class EndedSends {
	#sends: EndedSend[] = [];

	get isEmpty(): boolean {
		return this.#sends.length === 0;
	}

	add(send: EndedSend): void {
		this.#sends.push(send);
		if (this.#sends.length > maxKept) {
			this.#sends.shift();
		}
	}

	/** Drops the sends that ended so long before the endpoint was last alive that they have not crashed it. Only this drops any, not the time, as the gateway may be late to check. */
	wasAlive(at: number): void {
		this.#sends = this.#sends.filter((send) => at - send.at < watchedMs);
	}

	/** Removes and returns the sends that a crash is held against. */
	take(): EndedSend[] {
		const sends = this.#sends;
		this.#sends = [];
		return sends;
	}
}
