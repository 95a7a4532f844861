type Entry = {readonly key: string; time: number; index: number};

/**
 * Priority queue of keys by time, earliest first: a binary heap that indexes
 * its entries by key, so that setting, moving and removing a time cost
 * O(log n). `tinyqueue` and similar packages cannot move or remove an item.
 */
export class Timers {
	readonly #heap: Entry[] = [];
	readonly #entries = new Map<string, Entry>();

	get size(): number {
		return this.#heap.length;
	}

	/** Sets the time of a key, in milliseconds; undefined removes it. */
	set(key: string, time: number | undefined): void {
		const entry = this.#entries.get(key);
		if (time === undefined) {
			this.delete(key);
		} else if (entry) {
			entry.time = time;
			this.#siftUp(entry);
			this.#siftDown(entry);
		} else {
			const added = {key, time, index: this.#heap.length};
			this.#heap.push(added);
			this.#entries.set(key, added);
			this.#siftUp(added);
		}
	}

	delete(key: string): void {
		const entry = this.#entries.get(key);
		if (!entry) {
			return;
		}

		this.#entries.delete(key);
		const last = this.#heap.pop()!;
		if (last !== entry) {
			this.#place(last, entry.index);
			this.#siftUp(last);
			this.#siftDown(last);
		}
	}

	/** Earliest time, or undefined when there is none. */
	earliest(): number | undefined {
		return this.#heap[0]?.time;
	}

	/** Removes and returns the keys whose time is at or before `now`, earliest first. */
	takeDue(now: number): string[] {
		const due: string[] = [];
		for (
			let first = this.#heap[0];
			first && first.time <= now;
			first = this.#heap[0]
		) {
			due.push(first.key);
			this.delete(first.key);
		}

		return due;
	}

	#place(entry: Entry, index: number): void {
		entry.index = index;
		this.#heap[index] = entry;
	}

	#siftUp(entry: Entry): void {
		while (entry.index > 0) {
			const parent = this.#heap[Math.floor((entry.index - 1) / 2)]!;
			if (parent.time <= entry.time) {
				return;
			}

			this.#swap(entry, parent);
		}
	}

	#siftDown(entry: Entry): void {
		for (;;) {
			const left = this.#heap[entry.index * 2 + 1];
			const right = this.#heap[entry.index * 2 + 2];
			const child = right && left && right.time < left.time ? right : left;
			if (!child || child.time >= entry.time) {
				return;
			}

			this.#swap(entry, child);
		}
	}

	#swap(a: Entry, b: Entry): void {
		const {index} = a;
		this.#place(a, b.index);
		this.#place(b, index);
	}
}
