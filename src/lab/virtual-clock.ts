type ScheduledCallback = {
	readonly at: number;
	readonly order: number;
	readonly callback: () => void;
};

function isBefore(a: ScheduledCallback, b: ScheduledCallback): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/**
 * Runs callbacks by virtual time in milliseconds; those of the same time run in
 * the order in which they were added. Uses a binary heap because fleets of
 * 5,800 processes have some 10,000 callbacks scheduled.
 */
export class VirtualClock {
	readonly #heap: ScheduledCallback[] = [];
	#order = 0;
	#now = 0;

	get now(): number {
		return this.#now;
	}

	/** Schedules a callback for a time, or for the current time when that has passed. */
	at(time: number, callback: () => void): void {
		const entry = {
			at: Math.max(time, this.#now),
			order: this.#order++,
			callback,
		};
		let index = this.#heap.length;
		this.#heap.push(entry);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(entry, this.#heap[parent]!)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = entry;
	}

	after(ms: number, callback: () => void): void {
		this.at(this.#now + ms, callback);
	}

	/** Runs the callbacks that are due up to and including a time, and advances the clock to it. */
	runUntil(time: number): void {
		for (
			let next = this.#heap[0];
			next && next.at <= time;
			next = this.#heap[0]
		) {
			this.#now = next.at;
			this.#removeFirst();
			next.callback();
		}

		this.#now = time;
	}

	#removeFirst(): void {
		const last = this.#heap.pop()!;
		const {length} = this.#heap;
		if (length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			if (child >= length) {
				break;
			}

			if (
				child + 1 < length &&
				isBefore(this.#heap[child + 1]!, this.#heap[child]!)
			) {
				child++;
			}

			if (!isBefore(this.#heap[child]!, last)) {
				break;
			}

			this.#heap[index] = this.#heap[child]!;
			index = child;
		}

		this.#heap[index] = last;
	}
}
