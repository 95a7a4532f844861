/** Part of the endpoint's time that starts of lower tiers may spend on prompts. */
const prefillPart = 0.2;

/**
 * Spreads the starts of long prompts over time. An engine processes a prompt
 * between the steps of running answers, so that starts in quick succession
 * stretch the gaps of all of them.
 */
export class PrefillPace {
	#nextAt = 0;

	/** Earliest time at which work of a lower tier may start, on the monotonic clock in milliseconds. */
	get nextAt(): number {
		return this.#nextAt;
	}

	/** Notes a start whose prompt takes `prefillMs` of the endpoint's time. */
	onStart(prefillMs: number, now: number): void {
		this.#nextAt = Math.max(now, this.#nextAt) + prefillMs / prefillPart;
	}
}
