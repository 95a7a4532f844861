/** Clock readings of a process, in milliseconds. Only differences between readings are meaningful. */
export type Clocks = {
	/** Monotonic clock; stops while the machine is suspended. */
	readonly monotonicMs: number;
	/** Time of day; continues while the machine is suspended, and may be stepped either way. */
	readonly wallMs: number;
};

/**
 * Time of the last confirmation that a local copy is current. Its age is the
 * larger difference of the two clocks, so that neither a suspension nor a step of
 * the time of day makes an old copy look recent; only both at once can.
 */
export class Confirmation {
	#confirmedAt: Clocks | undefined;

	/** Records a confirmation; the copy was current when the call that confirmed it was sent. */
	confirm(sentAt: Clocks): void {
		this.#confirmedAt = sentAt;
	}

	/** Time since the last confirmation in milliseconds; infinite before the first. */
	ageMs(now: Clocks): number {
		return this.#confirmedAt
			? Math.max(
					now.monotonicMs - this.#confirmedAt.monotonicMs,
					now.wallMs - this.#confirmedAt.wallMs,
				)
			: Number.POSITIVE_INFINITY;
	}
}
