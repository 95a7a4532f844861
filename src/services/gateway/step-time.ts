/** Initial estimate in milliseconds, for a batching engine with half of its slots taken: engines in use need 5 to 10. */
const initialMs = 7;

/** Weights of samples below and above the estimate: steps that also prefill take several times as long, so the estimate follows the short ones. */
const shorterWeight = 0.2;
const longerWeight = 0.01;

/** Maximum excess of a sample over the estimate, as a multiple of the estimate; what is beyond it is ignored. */
const maxExcessFactor = 1;

/**
 * Estimates the time in which an engine generates one token of each running
 * answer while it prefills nothing, from the pauses between stream events.
 * Needed because engines differ in speed: an engine may spend on prefill only
 * the time that the pace of its answers leaves.
 */
export class StepTime {
	#ms = initialMs;

	/** Current estimate, in milliseconds. */
	get ms(): number {
		return this.#ms;
	}

	/** Adds the pause between two events of an answer, divided by the tokens that it brought, in milliseconds. */
	addSample(tokenMs: number): void {
		const difference = Math.min(tokenMs - this.#ms, this.#ms * maxExcessFactor);
		this.#ms += difference * (difference < 0 ? shorterWeight : longerWeight);
	}
}
