/** Request that waits for room at an endpoint. */
export type Waiting = {
	/** 0 goes first. */
	readonly tier: number;
	readonly arrivedAt: number;
	/** Moment after which it can hardly meet its objective; it then goes behind those that can. */
	readonly lateAt: number;
	/** Tries to place the request; returns false when it has to go on waiting. */
	readonly tryPlace: (now: number) => boolean;
};

/**
 * Requests of one gateway that wait for room. Those that can still meet their
 * objective go first, among them the more urgent, among them the newer: beyond
 * capacity the earliest are those that are late in any case by the time that
 * they are answered, and serving them first makes all others late as well.
 * Those that are late go by urgency, the earlier first. Prompts that wait here
 * do not crowd out what engines have cached.
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
		const ordered = [...this.#waiting].toSorted((a, b) => {
			const isLate = now > a.lateAt;
			return (
				Number(isLate) - Number(now > b.lateAt) ||
				a.tier - b.tier ||
				(isLate ? a.arrivedAt - b.arrivedAt : b.arrivedAt - a.arrivedAt)
			);
		});
		for (const waiting of ordered) {
			if (waiting.tryPlace(now)) {
				this.#waiting.delete(waiting);
			}
		}
	}
}
