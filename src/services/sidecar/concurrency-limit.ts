/** Minimum time between two adjustments of the limit, in milliseconds. */
const adjustmentIntervalMs = 200;
const initialLimit = 4;
const maxLimit = 1024;
/** Mean gap aimed at before the first slow answer, as a fraction of the target. */
const initialAim = 0.9;
const minAim = 0.6;
const maxAim = 0.95;
/** The limit is not changed while the mean gap is within this distance of the aim. */
const tolerance = 0.03;
/** Fraction of the answers with tight targets that may exceed their gap target. */
const allowedSlowFraction = 0.005;
/** Step of the aim after a slow answer. */
const aimStep = 0.01;
const slowStartFactor = 1.5;
const decreaseFactor = 0.9;
/** A batch below this fraction of the limit is too small to measure how many slots the endpoint can serve. */
const minBatchFraction = 0.5;
/** Time after the last observed gap from which a limit below the initial one no longer applies, in milliseconds. */
const staleAfterMs = 10_000;

/**
 * Adaptive limit on the number of slots in the batch: additive increase and
 * multiplicative decrease by the ratio of observed to target gaps.
 */
export class ConcurrencyLimit {
	#limit: number;
	#isInSlowStart: boolean;
	#ratioSum = 0;
	#samples = 0;
	#adjustedAt = 0;
	#observedAt = 0;
	#aim = initialAim;

	constructor(slowStart: boolean) {
		this.#isInSlowStart = slowStart;
		this.#limit = slowStart ? initialLimit : 8 * initialLimit;
	}

	/**
	 * Slots in the batch; at least 1. After an idle time a limit below its initial
	 * value is raised to it, as a congestion window restarts (RFC 5681, section
	 * 4.1); a higher one stays.
	 */
	at(now: number): number {
		return Math.floor(this.#current(now));
	}

	/**
	 * Adds a sample: a gap between tokens as a multiple of the target, with the
	 * batch size at the time and the slots reserved for higher tiers.
	 */
	observe(
		ratio: number,
		running: number,
		reservedPlaces: number,
		now: number,
	): void {
		this.#limit = this.#current(now);
		this.#observedAt = now;
		this.#ratioSum += ratio;
		this.#samples++;
		if (now - this.#adjustedAt < adjustmentIntervalMs) {
			return;
		}

		this.#adjust(this.#ratioSum / this.#samples, running + reservedPlaces);
		this.#adjustedAt = now;
		this.#ratioSum = 0;
		this.#samples = 0;
	}

	/**
	 * Adjusts the aim by whether the mean gap of a whole answer exceeded its
	 * target, so that the allowed fraction of the answers does (stochastic
	 * approximation of a quantile, Robbins and Monro 1951).
	 */
	onAnswer(isSlow: boolean): void {
		const aim = this.#aim + aimStep * (allowedSlowFraction - (isSlow ? 1 : 0));
		this.#aim = Math.min(maxAim, Math.max(minAim, aim));
	}

	dump(): unknown {
		return {aim: this.#aim, limit: this.#limit, slowStart: this.#isInSlowStart};
	}

	#current(now: number): number {
		return now - this.#observedAt > staleAfterMs
			? Math.max(initialLimit, this.#limit)
			: this.#limit;
	}

	#adjust(ratio: number, used: number): void {
		if (ratio > this.#aim + tolerance) {
			this.#isInSlowStart = false;
			// A batch still above the limit does not show whether the limit is too high.
			if (used <= this.#limit + 1) {
				const measured =
					used < this.#limit * minBatchFraction ? this.#limit : used;
				const from = Math.min(this.#limit, measured);
				this.#limit = Math.max(1, from * decreaseFactor);
			}
		} else if (
			ratio < this.#aim - tolerance &&
			used >= Math.floor(this.#limit)
		) {
			this.#limit = Math.min(
				maxLimit,
				this.#isInSlowStart ? this.#limit * slowStartFactor : this.#limit + 1,
			);
		}
	}
}
