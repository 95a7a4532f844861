/** Time over which a new endpoint gets its full part of the load, in milliseconds. */
const slowStartMs = 10_000;

/** Least handicap of an endpoint that has just appeared, in milliseconds; an idle one promises a first token at once. */
const leastPenaltyMs = 100;

/** Time for which an endpoint that said so counts as leaving, in milliseconds; longer would shut out a restart that no link shows. */
const leavingMs = 5000;

/** Remembers which endpoints are new, and which are about to leave. */
export class Freshness {
	readonly #seenAt = new Map<string, number>();
	readonly #incarnations = new Map<string, string>();
	readonly #leavingUntil = new Map<string, number>();

	see(endpoints: readonly string[], now: number): void {
		for (const endpoint of endpoints) {
			if (!this.#seenAt.has(endpoint)) {
				this.#seenAt.set(endpoint, now);
			}
		}
	}

	/** Another incarnation than before is a new endpoint, and not the one that was leaving. */
	noteIncarnation(endpoint: string, incarnation: string, now: number): void {
		const earlier = this.#incarnations.get(endpoint);
		this.#incarnations.set(endpoint, incarnation);
		if (earlier !== undefined && earlier !== incarnation) {
			this.#seenAt.set(endpoint, now);
			this.#leavingUntil.delete(endpoint);
		}
	}

	noteLeaving(endpoint: string, now: number): void {
		this.#leavingUntil.set(endpoint, now + leavingMs);
	}

	/** A process whose link is lost may be back as another incarnation. */
	noteLinkLost(endpoint: string): void {
		this.#leavingUntil.delete(endpoint);
	}

	isLeaving(endpoint: string, now: number): boolean {
		return (this.#leavingUntil.get(endpoint) ?? now) > now;
	}

	/** Handicap of a new endpoint against others, in milliseconds: falls to 0 during its slow start, so that not every entry sends it everything at once. */
	penaltyMs(endpoint: string, promisedMs: number, now: number): number {
		const age = now - (this.#seenAt.get(endpoint) ?? now);
		const part = Math.max(0, 1 - age / slowStartMs);
		return part * Math.max(promisedMs, leastPenaltyMs);
	}
}
