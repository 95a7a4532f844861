/** Something that holds a resource until it is disposed of. */
export type Disposable = {
	dispose(): void;
};

/** Wraps a clean-up function as a disposable that runs it at most once. */
export function toDisposable(cleanUp: () => void): Disposable {
	let isDisposed = false;
	return {
		dispose() {
			if (isDisposed) {
				return;
			}

			isDisposed = true;
			cleanUp();
		},
	};
}

/** Owns disposables and disposes of them together, in reverse order of addition. */
export class DisposableStore implements Disposable {
	readonly #items = new Set<Disposable>();
	#isDisposed = false;

	get isDisposed(): boolean {
		return this.#isDisposed;
	}

	/** Adds an item and returns it. An item added after disposal is disposed of at once, so that it cannot leak. */
	add<T extends Disposable>(item: T): T {
		if (this.#isDisposed) {
			item.dispose();
		} else {
			this.#items.add(item);
		}

		return item;
	}

	/** Disposes of one item before the others. */
	delete(item: Disposable): void {
		if (this.#items.delete(item)) {
			item.dispose();
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		const items = [...this.#items].toReversed();
		this.#items.clear();
		for (const item of items) {
			item.dispose();
		}
	}
}
