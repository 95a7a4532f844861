/** Time for which the loss of an answer makes others likely, in milliseconds: faults of engines come in groups, and a copy of each run costs transfers. */
const rememberedMs = 30_000;

/** Losses of answers in progress at the engines of one service. Answers faults that hit several engines one after the other. */
export class EngineLosses {
	#lastAt = Number.NEGATIVE_INFINITY;

	/** An engine broke an answer off, or fell silent. */
	note(now: number): void {
		this.#lastAt = now;
	}

	/** Whether further losses are likely. */
	areLikely(now: number): boolean {
		return now - this.#lastAt < rememberedMs;
	}
}
