/** Time between two adjustments, in milliseconds. */
const intervalMs = 200;
const initialLimit = 4;
const largestLimit = 1024;
/** Mean gap aimed at before slow answers were seen, as a part of the target. */
const initialAim = 0.9;
const smallestAim = 0.6;
const largestAim = 0.95;
/** The limit stays while the mean gap is within this distance of the aim. */
const tolerance = 0.03;
/** Part of the answers of the highest tier that may exceed their gap target. */
const allowedSlow = 0.005;
/** Step of the aim after a slow answer. */
const aimStep = 0.01;
const slowStartFactor = 1.5;
const decreaseFactor = 0.9;
/** A batch below this part of the limit is too small to measure how many places the endpoint can serve. */
const smallestBatch = 0.5;
/** Time after the last gap from which a limit below the initial one is out of date, in milliseconds. */
const expiryMs = 10_000;

/**
 * Additive increase and multiplicative decrease of the number of places in the
 * batch, driven by the ratio of observed to targeted gaps between tokens.
 */
export class ConcurrencyLimit {
	#limit: number;
	#slowStart: boolean;
	#ratioSum = 0;
	#samples = 0;
	#adjustedAt = 0;
	#observedAt = 0;
	#aim = initialAim;

	constructor(slowStart: boolean) {
		this.#slowStart = slowStart;
		this.#limit = slowStart ? initialLimit : 8 * initialLimit;
	}

	/**
	 * Places in the batch; at least 1. Like a congestion window after an idle
	 * time (RFC 5681, section 4.1), a limit that was not measured lately restarts
	 * at its initial value, but only upwards.
	 */
	at(now: number): number {
		return Math.floor(this.#current(now));
	}

	/**
	 * Notes a gap between tokens as a multiple of the target, with the batch in
	 * which it was seen and the places that were left free on purpose.
	 */
	observe(ratio: number, running: number, reserve: number, now: number): void {
		this.#limit = this.#current(now);
		this.#observedAt = now;
		this.#ratioSum += ratio;
		this.#samples++;
		if (now - this.#adjustedAt < intervalMs) {
			return;
		}

		this.#adjust(this.#ratioSum / this.#samples, running + reserve);
		this.#adjustedAt = now;
		this.#ratioSum = 0;
		this.#samples = 0;
	}

	/**
	 * Notes whether the mean gap of a whole answer exceeded its target. Moves the
	 * aim so that the allowed part of the answers does (stochastic approximation
	 * of a quantile, Robbins and Monro 1951).
	 */
	onAnswer(isSlow: boolean): void {
		const aim = this.#aim + aimStep * (allowedSlow - (isSlow ? 1 : 0));
		this.#aim = Math.min(largestAim, Math.max(smallestAim, aim));
	}

	dump(): unknown {
		return {aim: this.#aim, limit: this.#limit, slowStart: this.#slowStart};
	}

	#current(now: number): number {
		return now - this.#observedAt > expiryMs
			? Math.max(initialLimit, this.#limit)
			: this.#limit;
	}

	#adjust(ratio: number, used: number): void {
		if (ratio > this.#aim + tolerance) {
			this.#slowStart = false;
			// A batch that is still above the limit says nothing about the limit.
			if (used <= this.#limit + 1) {
				const measured =
					used < this.#limit * smallestBatch ? this.#limit : used;
				const from = Math.min(this.#limit, measured);
				this.#limit = Math.max(1, from * decreaseFactor);
			}
		} else if (
			ratio < this.#aim - tolerance &&
			used >= Math.floor(this.#limit)
		) {
			this.#limit = Math.min(
				largestLimit,
				this.#slowStart ? this.#limit * slowStartFactor : this.#limit + 1,
			);
		}
	}
}
