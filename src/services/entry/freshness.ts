/** Slow start: time after which a new endpoint gets its full share of the load, in milliseconds. */
const slowStartMs = 10_000;

/** Minimum initial penalty of a new endpoint, in milliseconds; an idle one promises its first token at once, so the promise alone would give none. */
const minPenaltyMs = 100;

/** Time for which an endpoint counts as leaving after it has reported so, in milliseconds; a longer time would keep excluding an endpoint that restarted while the entry had no link to it. */
const leavingNoticeMs = 5000;

/** Tracks which endpoints are new and in slow start, and which are leaving. */
export class Freshness {
	readonly #seenAt = new Map<string, number>();
	readonly #incarnations = new Map<string, string>();
	readonly #leavingUntil = new Map<string, number>();

	recordSeen(endpoints: readonly string[], now: number): void {
		for (const endpoint of endpoints) {
			if (!this.#seenAt.has(endpoint)) {
				this.#seenAt.set(endpoint, now);
			}
		}
	}

	/** A changed incarnation counts as a new endpoint that is not leaving. */
	applyIncarnation(endpoint: string, incarnation: string, now: number): void {
		const earlier = this.#incarnations.get(endpoint);
		this.#incarnations.set(endpoint, incarnation);
		if (earlier !== undefined && earlier !== incarnation) {
			this.#seenAt.set(endpoint, now);
			this.#leavingUntil.delete(endpoint);
		}
	}

	recordLeaving(endpoint: string, now: number): void {
		this.#leavingUntil.set(endpoint, now + leavingNoticeMs);
	}

	/** Called when a link is lost: the process may come back as another incarnation. */
	clearLeaving(endpoint: string): void {
		this.#leavingUntil.delete(endpoint);
	}

	isLeaving(endpoint: string, now: number): boolean {
		return (this.#leavingUntil.get(endpoint) ?? now) > now;
	}

	/** Penalty added to the promised first-token time of a new endpoint, in milliseconds. It falls to 0 during the slow start, so that the entries do not all send their requests to the new endpoint at once. */
	penaltyMs(endpoint: string, promisedMs: number, now: number): number {
		const age = now - (this.#seenAt.get(endpoint) ?? now);
		const remainingFraction = Math.max(0, 1 - age / slowStartMs);
		return remainingFraction * Math.max(promisedMs, minPenaltyMs);
	}
}
