import type {Disposable} from '../../base/index.js';
import {WaitingRoom, type Waiting} from '../../services/gateway/index.js';
import {monotonicNow} from '../task.js';
import type {LoopLag} from './loop-lag.js';

/** Time after which waiting requests are looked at although nothing has happened here, in milliseconds: load at other gateways falls unseen. */
const sweepPeriodMs = 40;

/** Time for which events that may have made room are gathered, in milliseconds: a look at every waiting request takes processor time. */
const sweepDelayMs = 10;

/** Task that places requests: at once when there is room, and otherwise when there may be room again. */
export class WaitingTask implements Disposable {
	readonly #lag: LoopLag;
	readonly #room = new WaitingRoom();
	#periodTimer: NodeJS.Timeout | undefined;
	#soonTimer: NodeJS.Timeout | undefined;
	#isDisposed = false;

	constructor(lag: LoopLag) {
		this.#lag = lag;
	}

	/** Requests that wait. */
	get size(): number {
		return this.#room.size;
	}

	/** Places a request or lets it wait. It need not wait for more urgent ones: engines refuse it room that those could use. */
	enter(waiting: Waiting): void {
		if (!waiting.tryPlace(monotonicNow())) {
			this.#room.add(waiting);
			this.#startPeriod();
		}
	}

	/** There may be room. */
	sweepSoon(): void {
		if (this.#room.size > 0 && !this.#isDisposed) {
			this.#soonTimer ??= setTimeout(() => {
				void this.#sweep();
			}, sweepDelayMs);
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#periodTimer);
		clearTimeout(this.#soonTimer);
	}

	/** A process that is behind first learns which of the callers have left. */
	async #sweep(): Promise<void> {
		await this.#lag.catchUp();
		clearTimeout(this.#soonTimer);
		clearTimeout(this.#periodTimer);
		this.#soonTimer = undefined;
		this.#periodTimer = undefined;
		this.#room.sweep(monotonicNow());
		if (this.#room.size > 0) {
			this.#startPeriod();
		}
	}

	#startPeriod(): void {
		if (!this.#isDisposed) {
			this.#periodTimer ??= setTimeout(() => {
				void this.#sweep();
			}, sweepPeriodMs);
		}
	}
}
