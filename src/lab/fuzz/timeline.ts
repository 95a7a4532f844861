type Scheduled = {readonly time: number; readonly action: () => void};

/** Virtual time in milliseconds; actions of one instant run in the order in which they were scheduled. */
export class Timeline {
	#now = 0;
	/** Sorted by time, latest first, so that the next action is popped from the end. */
	readonly #actions: Scheduled[] = [];

	get now(): number {
		return this.#now;
	}

	/** Schedules an action; a time in the past counts as now. */
	at(time: number, action: () => void): void {
		const item = {time: Math.max(time, this.#now), action};
		let low = 0;
		let high = this.#actions.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (this.#actions[middle]!.time > item.time) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.#actions.splice(low, 0, item);
	}

	after(ms: number, action: () => void): void {
		this.at(this.#now + ms, action);
	}

	/** Runs all actions up to and including a time. */
	runUntil(end: number): void {
		for (
			let next = this.#actions.at(-1);
			next && next.time <= end;
			next = this.#actions.at(-1)
		) {
			this.#actions.pop();
			this.#now = next.time;
			next.action();
		}

		this.#now = end;
	}
}
