type Entry = {
	readonly at: number;
	readonly order: number;
	readonly run: () => void;
};

function before(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Binary heap of actions in virtual time; actions of the same time run in order of addition. */
export class EventQueue {
	readonly #heap: Entry[] = [];
	#order = 0;
	#now = 0;

	/** Virtual time, in milliseconds. */
	get now(): number {
		return this.#now;
	}

	/** Runs an action at a time; one in the past runs next. */
	at(time: number, run: () => void): void {
		const entry = {at: Math.max(time, this.#now), order: this.#order++, run};
		let index = this.#heap.length;
		this.#heap.push(entry);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!before(entry, this.#heap[parent]!)) {
				break;
			}

			this.#heap[index] = this.#heap[parent]!;
			index = parent;
		}

		this.#heap[index] = entry;
	}

	/** Runs everything that is due up to and including a time. */
	runUntil(time: number): void {
		for (
			let next = this.#heap[0];
			next && next.at <= time;
			next = this.#heap[0]
		) {
			this.#now = next.at;
			this.#removeFirst();
			next.run();
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
				before(this.#heap[child + 1]!, this.#heap[child]!)
			) {
				child++;
			}

			if (!before(this.#heap[child]!, last)) {
				break;
			}

			this.#heap[index] = this.#heap[child]!;
			index = child;
		}

		this.#heap[index] = last;
	}
}
