import type {Disposable} from '../../base/index.js';
import {monotonicNow} from '../task.js';

/** Time between two looks at the event loop, in milliseconds. */
const periodMs = 50;

/** Time beyond the period for which one turn of the event loop is normal, in milliseconds. */
const normalMs = 150;

/** Tells when the process does not get the processor time that it needs, so that what it reads from its sockets is old. */
export class LoopLag implements Disposable {
	readonly #timer: NodeJS.Timeout;
	#lookedAt = monotonicNow();
	/** The timers of a late turn run before its sockets are read. */
	#isCatchingUp = false;

	constructor() {
		this.#timer = setInterval(() => {
			if (this.#isLate) {
				void this.#catchUp();
			}

			this.#lookedAt = monotonicNow();
		}, periodMs);
	}

	get isBehind(): boolean {
		return this.#isCatchingUp || this.#isLate;
	}

	get #isLate(): boolean {
		return monotonicNow() - this.#lookedAt > periodMs + normalMs;
	}

	/** Lets events that have been waiting in the sockets come first, such as the close of a caller that has given up; returns at once when the process keeps up. */
	async catchUp(): Promise<void> {
		if (this.isBehind) {
			await nextTurn();
			await nextTurn();
		}
	}

	async #catchUp(): Promise<void> {
		this.#isCatchingUp = true;
		await nextTurn();
		await nextTurn();
		this.#isCatchingUp = false;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}
}

async function nextTurn(): Promise<void> {
	return new Promise((resolve) => {
		setImmediate(resolve);
	});
}
