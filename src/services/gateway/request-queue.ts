/** Request that waits until an endpoint has capacity for it. */
export type QueuedRequest = {
	/** Rank in which it gets capacity, the lowest first; updated by `tryPlace` when the share of its workspace changes. */
	rank: number;
	readonly arrivedAt: number;
	/** Time after which it can hardly meet its objective; from then on it is behind those that can. */
	readonly lateAt: number;
	/** Tries to place the request; returns false if it stays in the queue. */
	readonly tryPlace: (now: number) => boolean;
};

/**
 * Queue of one gateway's requests that wait for capacity. Requests that can
 * still meet their objective go first, by rank and then newest first: under
 * overload the oldest would be late anyway by the time they are answered, and
 * serving them first would make all others late as well. Requests that are
 * already late follow, by rank and then oldest first. While prompts are queued
 * here, they do not evict what engines have cached.
 */
export class RequestQueue {
	readonly #queue = new Set<QueuedRequest>();

	get size(): number {
		return this.#queue.size;
	}

	add(request: QueuedRequest): void {
		this.#queue.add(request);
	}

	delete(request: QueuedRequest): void {
		this.#queue.delete(request);
	}

	/** The queued requests in the order in which they are to be placed. */
	ordered(now: number): QueuedRequest[] {
		return [...this.#queue].toSorted((a, b) => {
			const isLate = now > a.lateAt;
			return (
				Number(isLate) - Number(now > b.lateAt) ||
				a.rank - b.rank ||
				(isLate ? a.arrivedAt - b.arrivedAt : b.arrivedAt - a.arrivedAt)
			);
		});
	}

	/** Tries to place a queued request, which then leaves the queue; does nothing when it has left before. */
	tryPlace(request: QueuedRequest, now: number): void {
		if (this.#queue.has(request) && request.tryPlace(now)) {
			this.#queue.delete(request);
		}
	}
}
