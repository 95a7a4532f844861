/** Time between two adjustments, in milliseconds. */
const intervalMs = 200;
const initialLimit = 4;
const largestLimit = 1024;
/** The limit rises while the mean gap is below this part of the target. */
const raiseBelow = 0.85;
/** The limit falls when the mean gap exceeds this part of the target. */
const lowerAbove = 0.95;
const slowStartFactor = 1.5;
const decreaseFactor = 0.9;

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

	constructor(slowStart: boolean) {
		this.#slowStart = slowStart;
		this.#limit = slowStart ? initialLimit : 8 * initialLimit;
	}

	/** Places in the batch; at least 1. */
	get value(): number {
		return Math.floor(this.#limit);
	}

	/** Notes a gap between tokens as a multiple of the target, with the batch in which it was seen. */
	observe(ratio: number, running: number, now: number): void {
		this.#ratioSum += ratio;
		this.#samples++;
		if (now - this.#adjustedAt < intervalMs) {
			return;
		}

		this.#adjust(this.#ratioSum / this.#samples, running);
		this.#adjustedAt = now;
		this.#ratioSum = 0;
		this.#samples = 0;
	}

	dump(): unknown {
		return {limit: this.#limit, slowStart: this.#slowStart};
	}

	#adjust(ratio: number, running: number): void {
		if (ratio > lowerAbove) {
			this.#slowStart = false;
			// A batch that is still above the limit says nothing about the limit.
			if (running <= this.#limit) {
				this.#limit = Math.max(1, running * decreaseFactor);
			}
		} else if (ratio < raiseBelow && running >= this.value) {
			this.#limit = Math.min(
				largestLimit,
				this.#slowStart ? this.#limit * slowStartFactor : this.#limit + 1,
			);
		}
	}
}
