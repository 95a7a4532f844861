type Entry<T> = {readonly key: number; readonly item: T};

/** Items in ascending order of a number; items with equal keys keep their order of insertion. */
export class SortedList<T> {
	readonly #entries: Array<Entry<T>> = [];

	get size(): number {
		return this.#entries.length;
	}

	get first(): T | undefined {
		return this.#entries[0]?.item;
	}

	get last(): T | undefined {
		return this.#entries.at(-1)?.item;
	}

	get firstKey(): number | undefined {
		return this.#entries[0]?.key;
	}

	add(key: number, item: T): void {
		this.#entries.splice(this.#position(key, true), 0, {key, item});
	}

	/** Removes an item that was added under this key; returns whether it was there. */
	remove(key: number, item: T): boolean {
		for (
			let index = this.#position(key, false);
			this.#entries[index]?.key === key;
			index++
		) {
			if (this.#entries[index]!.item === item) {
				this.#entries.splice(index, 1);
				return true;
			}
		}

		return false;
	}

	/** Removes and returns the item with the lowest key. */
	shift(): T | undefined {
		return this.#entries.shift()?.item;
	}

	/** Number of items whose key is less than the given one. */
	countBelow(key: number): number {
		return this.#position(key, false);
	}

	*[Symbol.iterator](): Iterator<T> {
		for (const {item} of this.#entries) {
			yield item;
		}
	}

	/** Binary search for the first entry whose key is at least the given one, or above it for the upper bound. */
	#position(key: number, isUpperBound: boolean): number {
		let low = 0;
		let high = this.#entries.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			const middleKey = this.#entries[middle]!.key;
			if (middleKey < key || (isUpperBound && middleKey === key)) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
