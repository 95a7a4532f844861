/** Clocks of a process, in milliseconds. Only their differences are used. */
export type Clocks = {
	/** Steady; stands still while the machine is suspended. */
	readonly steadyMs: number;
	/** Time of day; goes on while the machine is suspended, and may jump either way. */
	readonly wallMs: number;
};

/**
 * Age of what a process believes. The larger difference of the two clocks counts,
 * so that neither a suspension nor a step of the time of day makes an old
 * belief look young; only both at once can.
 */
export class Confirmation {
	#at: Clocks | undefined;

	/** The belief was true when the call that confirmed it was sent. */
	confirm(sentAt: Clocks): void {
		this.#at = sentAt;
	}

	/** Time since the last confirmation in milliseconds; infinite before the first. */
	ageMs(now: Clocks): number {
		return this.#at
			? Math.max(now.steadyMs - this.#at.steadyMs, now.wallMs - this.#at.wallMs)
			: Number.POSITIVE_INFINITY;
	}
}
