/** Request that waits for room at an endpoint. */
export type Waiting = {
	/** 0 goes first. */
	readonly tier: number;
	readonly arrivedAt: number;
	/** Moment after which it can no longer meet its objective; it then goes behind those that can. */
	readonly lateAt: number;
	/** Tries to place the request; returns false when it has to go on waiting. */
	readonly tryPlace: (now: number) => boolean;
};

/**
 * Requests of one gateway that wait for room. Those that can still meet their
 * objective go first, among them the more urgent, among them the earlier.
 * Answers load beyond capacity: prompts that wait here do not crowd out what
 * engines have cached, and an urgent request passes those that came before it.
 */
export class WaitingRoom {
	readonly #waiting = new Set<Waiting>();

	get size(): number {
		return this.#waiting.size;
	}

	add(waiting: Waiting): void {
		this.#waiting.add(waiting);
	}

	delete(waiting: Waiting): void {
		this.#waiting.delete(waiting);
	}

	/** Places as many as there is room for, in order. */
	sweep(now: number): void {
		const ordered = [...this.#waiting].toSorted(
			(a, b) =>
				Number(now > a.lateAt) - Number(now > b.lateAt) ||
				a.tier - b.tier ||
				a.arrivedAt - b.arrivedAt,
		);
		for (const waiting of ordered) {
			if (waiting.tryPlace(now)) {
				this.#waiting.delete(waiting);
			}
		}
	}
}
