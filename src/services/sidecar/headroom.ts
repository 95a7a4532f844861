/** Time over which the arrival rates are averaged, in milliseconds. */
const averagingMs = 10_000;
/** An entry asks about three endpoints for each request and starts at one. */
const startChance = 1 / 3;
/** Part of the places that is kept free at most. */
const largestPart = 0.25;

type Arrivals = {
	readonly tier: number;
	/** Arrivals of the averaging time, each with exponentially decaying weight. */
	weight: number;
	at: number;
};

/**
 * Places kept free for higher tiers whose first-token target is too short to
 * wait until a place becomes free.
 */
export class Headroom {
	readonly #classes = new Map<string, Arrivals>();

	/** Notes an offer to a class that cannot wait for a place. */
	note(requestClass: string, tier: number, now: number): void {
		const seen = this.#classes.get(requestClass);
		this.#classes.set(requestClass, {
			tier,
			weight: startChance + (seen ? decayed(seen, now) : 0),
			at: now,
		});
	}

	/** Places out of `limit` that work of this tier leaves free, when a place becomes free every `releaseMs`. */
	places(tier: number, limit: number, releaseMs: number, now: number): number {
		let rate = 0;
		for (const seen of this.#classes.values()) {
			rate += seen.tier < tier ? decayed(seen, now) / averagingMs : 0;
		}

		if (rate * averagingMs < 1) {
			return 0;
		}

		// Mean and two standard deviations of the arrivals until a place is free again.
		const arrivals = rate * releaseMs;
		const wanted = Math.ceil(arrivals + 2 * Math.sqrt(arrivals));
		return Math.min(wanted, Math.floor(limit * largestPart));
	}
}

function decayed({weight, at}: Arrivals, now: number): number {
	return weight * Math.exp((at - now) / averagingMs);
}
