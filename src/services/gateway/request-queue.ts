/** Request that waits until an endpoint has capacity for it. */
export type QueuedRequest = {
	/** Rank in which it gets capacity, the lowest first. */
	readonly rank: number;
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

	/** Tries to place each queued request, in order. */
	dispatch(now: number): void {
		const ordered = [...this.#queue].toSorted((a, b) => {
			const isLate = now > a.lateAt;
			return (
				Number(isLate) - Number(now > b.lateAt) ||
				a.rank - b.rank ||
				(isLate ? a.arrivedAt - b.arrivedAt : b.arrivedAt - a.arrivedAt)
			);
		});
		for (const request of ordered) {
			if (request.tryPlace(now)) {
				this.#queue.delete(request);
			}
		}
	}
}
