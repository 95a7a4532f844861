/** Fraction of the endpoint's time that prefills may take; starts of work that can wait are delayed to keep to it. */
const maxPrefillFraction = 0.2;

/**
 * Spreads the starts of long prompts over time. An engine processes prompts
 * between the decoding steps of running answers, so starts in quick succession
 * lengthen the gaps of all of them.
 */
export class PrefillPace {
	#nextStartAt = 0;

	/** Earliest time at which work that can wait may start, on the monotonic clock in milliseconds. */
	get nextStartAt(): number {
		return this.#nextStartAt;
	}

	/** Delays the next start after one whose prompt takes `prefillMs` of the endpoint's time. */
	onStart(prefillMs: number, now: number): void {
		this.#nextStartAt =
			Math.max(now, this.#nextStartAt) + prefillMs / maxPrefillFraction;
	}
}
