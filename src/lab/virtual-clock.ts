import {SortedList} from '../base/index.js';

/** Runs callbacks in order of virtual time, in milliseconds. */
export class VirtualClock {
	#now = 0;
	readonly #events = new SortedList<() => void>();

	get now(): number {
		return this.#now;
	}

	/** Calls back at a time, or as soon as possible when it has passed. */
	at(time: number, callback: () => void): void {
		this.#events.add(Math.max(time, this.#now), callback);
	}

	after(ms: number, callback: () => void): void {
		this.at(this.#now + ms, callback);
	}

	/** Runs the events up to a time. */
	runUntil(time: number): void {
		for (
			let next = this.#events.firstKey;
			next !== undefined && next <= time;
			next = this.#events.firstKey
		) {
			this.#now = next;
			this.#events.shift()!();
		}

		this.#now = time;
	}
}
