/** Time in milliseconds for which a claim holds after there may be capacity: a gateway tries its queued requests every 40 ms, and a datagram takes 1 ms. */
const claimMs = 100;

/** Maximum length of a claim in milliseconds, about the time for which a request waits. */
const maxClaimMs = 1000;

/** Time in milliseconds for which a gateway does not ask again for capacity that the owner keeps for more urgent requests. */
const keptBackMs = 40;

/** Maximum number of ranks with a claim: far more than requests have. */
const maxRanks = 32;

/**
 * Claims of waiting requests on the next free capacity of one engine, by rank.
 * Needed when several gateways ask for the capacity of an engine: without
 * claims it goes to the request that happens to ask first, however urgent the
 * others are. A claim expires by itself, so that no capacity stays unused for
 * long when its request is placed elsewhere.
 */
export class CapacityClaims {
	/** End of the claim by rank. */
	readonly #endsAt = new Map<number, number>();
	/** Rank from which on requests were denied capacity that the owner keeps for others. */
	#keptBackRank = Number.POSITIVE_INFINITY;
	#keptBackUntil = Number.NEGATIVE_INFINITY;

	/** Records that a request of a rank waits for capacity which may become free after a time. */
	add(rank: number, freeInMs: number, now: number): void {
		this.#removeExpired(now);
		const lengthMs = Math.min(maxClaimMs, Math.max(0, freeInMs) + claimMs);
		const endsAt = this.#endsAt.get(rank);
		if (endsAt !== undefined || this.#endsAt.size < maxRanks) {
			this.#endsAt.set(rank, Math.max(endsAt ?? 0, now + lengthMs));
		}
	}

	/** Whether a claim of a rank holds at least until the next attempts of all gateways. */
	isFresh(rank: number, now: number): boolean {
		return (this.#endsAt.get(rank) ?? 0) - now > claimMs / 2;
	}

	/** Records that the owner of the engine keeps its free capacity for requests more urgent than a rank. */
	keepBack(rank: number, now: number): void {
		this.#keptBackRank =
			now < this.#keptBackUntil ? Math.min(rank, this.#keptBackRank) : rank;
		this.#keptBackUntil = now + keptBackMs;
	}

	/** Time until requests of a rank may take capacity that more urgent ones have claimed, in milliseconds. */
	heldMs(rank: number, now: number): number {
		let heldMs = rank >= this.#keptBackRank ? this.#keptBackUntil - now : 0;
		for (const [other, endsAt] of this.#endsAt) {
			if (other < rank) {
				heldMs = Math.max(heldMs, endsAt - now);
			}
		}

		return Math.max(0, heldMs);
	}

	#removeExpired(now: number): void {
		for (const [rank, endsAt] of this.#endsAt) {
			if (endsAt <= now) {
				this.#endsAt.delete(rank);
			}
		}
	}
}
