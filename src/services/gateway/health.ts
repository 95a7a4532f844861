/** First time without requests after a failed connection or a silent endpoint, in milliseconds; doubles with each further one. */
const firstBlockMs = 500;

/** Longest time without requests, in milliseconds; a restarted endpoint is found again within it. */
const longestBlockMs = 8000;

/** Time without a failure after which the next block is short again, in milliseconds. */
const forgiveMs = 20_000;

/** Weight of one outcome in the failing part. */
const outcomeWeight = 0.25;

/** Time in which the failing part falls to a third while there are no outcomes, so that the endpoint is tried again, in milliseconds. */
const fadeMs = 4000;

/** What a gateway has seen an endpoint do, as against what health checks say. */
export class Health {
	#failingPart = 0;
	#notedAt = 0;
	#blockedUntil = 0;
	#blockMs = 0;
	#lastBlockAt = Number.NEGATIVE_INFINITY;
	/** One request tries an endpoint whose block has ended. */
	#isOnTrial = false;

	/** The endpoint gave a good answer. */
	succeeded(now: number): void {
		this.#note(0, now);
		this.#isOnTrial = false;
		this.#blockedUntil = 0;
	}

	/** The endpoint answered badly; it may do well on the next request. */
	failed(now: number): void {
		this.#note(1, now);
		if (this.#isOnTrial) {
			this.block(now);
		}
	}

	/** The endpoint is down or silent: it gets no requests for a time. */
	block(now: number): void {
		this.#note(1, now);
		if (now < this.#blockedUntil) {
			return;
		}

		const isFirst = now - this.#lastBlockAt > forgiveMs;
		this.#blockMs = isFirst
			? firstBlockMs
			: Math.min(longestBlockMs, this.#blockMs * 2);
		this.#lastBlockAt = now;
		this.#blockedUntil = now + this.#blockMs;
		this.#isOnTrial = true;
	}

	/** Time until the endpoint may be tried, in milliseconds. */
	blockedMs(now: number): number {
		return Math.max(0, this.#blockedUntil - now);
	}

	/** The next outcome decides whether a block goes on. */
	get isOnTrial(): boolean {
		return this.#isOnTrial;
	}

	/** Part of recent requests that failed, 0 to 1. */
	failingPart(now: number): number {
		return this.#failingPart * Math.exp((this.#notedAt - now) / fadeMs);
	}

	#note(outcome: number, now: number): void {
		const part = this.failingPart(now);
		this.#failingPart = part + outcomeWeight * (outcome - part);
		this.#notedAt = now;
	}
}
