/** Time of a step of a batching engine with half of its slots taken, in milliseconds, until its own has been seen: engines in use lie between 5 and 10. */
const priorMs = 7;

/** Weight of a sample below the estimate, and of one above it: steps that also read a prompt take several times as long, so the estimate follows the short ones. */
const shorterWeight = 0.2;
const longerWeight = 0.01;

/** Largest part of the estimate by which one sample counts beyond it. */
const maxExcess = 1;

/**
 * Time that an engine takes for a token of all its answers while it reads no
 * prompt, learned from the pauses between events. Answers engines of unlike
 * makes: how much of its time an engine may read follows from what its answers
 * need.
 */
export class StepTime {
	#ms = priorMs;

	/** In milliseconds. */
	get ms(): number {
		return this.#ms;
	}

	/** Notes the time between two events of an answer for each token. */
	note(tokenMs: number): void {
		const difference = Math.min(tokenMs - this.#ms, this.#ms * maxExcess);
		this.#ms += difference * (difference < 0 ? shorterWeight : longerWeight);
	}
}
