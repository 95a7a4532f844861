import {toDisposable, type Disposable} from './disposable.js';

/** Subscribes a listener; disposing of the result removes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Source of one kind of event: its owner calls `fire` and gives others only `event` to subscribe to. */
export class Emitter<T> implements Disposable {
	readonly #listeners = new Set<(value: T) => void>();

	readonly event: Event<T> = (listener) => {
		this.#listeners.add(listener);
		return toDisposable(() => {
			this.#listeners.delete(listener);
		});
	};

	fire(value: T): void {
		for (const listener of this.#listeners) {
			listener(value);
		}
	}

	dispose(): void {
		this.#listeners.clear();
	}
}
