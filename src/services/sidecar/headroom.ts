/** Time constant of the average of the arrival rates, in milliseconds. */
const averagingMs = 10_000;
/** An entry requests offers from three endpoints for each request and starts it at one. */
const startProbability = 1 / 3;
/** Maximum fraction of the slots that is kept free. */
const maxHeadroomFraction = 0.25;

type Arrivals = {
	readonly tier: number;
	/** Arrivals in the averaging time, each with exponentially decaying weight. */
	weight: number;
	at: number;
};

/**
 * Slots kept free for higher tiers whose first-token target is too short to
 * wait until a slot becomes free.
 */
export class Headroom {
	readonly #classes = new Map<string, Arrivals>();

	/** Counts an offer to a class whose target is too short to wait for a slot. */
	recordOffer(requestClass: string, tier: number, now: number): void {
		const arrivals = this.#classes.get(requestClass);
		this.#classes.set(requestClass, {
			tier,
			weight: startProbability + (arrivals ? decayed(arrivals, now) : 0),
			at: now,
		});
	}

	/** Slots out of `limit` that work of this tier leaves free, when a slot becomes free every `releaseMs`. */
	places(tier: number, limit: number, releaseMs: number, now: number): number {
		let rate = 0;
		for (const arrivals of this.#classes.values()) {
			rate += arrivals.tier < tier ? decayed(arrivals, now) / averagingMs : 0;
		}

		if (rate * averagingMs < 1) {
			return 0;
		}

		// Arrivals until a slot becomes free: mean plus two standard deviations, as of a Poisson process.
		const expectedArrivals = rate * releaseMs;
		const wanted = Math.ceil(
			expectedArrivals + 2 * Math.sqrt(expectedArrivals),
		);
		return Math.min(wanted, Math.floor(limit * maxHeadroomFraction));
	}
}

function decayed({weight, at}: Arrivals, now: number): number {
	return weight * Math.exp((at - now) / averagingMs);
}
