import type {Disposable} from '../../base/index.js';
import {
	RequestQueue,
	type QueuedRequest,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {LoopLag} from './loop-lag.js';

/** Maximum time between two dispatches of the queued requests, in milliseconds: this gateway gets no event when load from other gateways falls. */
const dispatchPeriodMs = 40;

/** Time for which events that may have freed capacity are coalesced into one dispatch, in milliseconds: a dispatch takes CPU time for each queued request. */
const dispatchDelayMs = 10;

/** Time for which a dispatch may keep the process from reading its sockets, in milliseconds. */
const maxSliceMs = 25;

/** Places requests on endpoints: at once when there is capacity, and otherwise by retrying whenever some may have become free. */
export class RequestQueueTask implements Disposable {
	readonly #loopLag: LoopLag;
	readonly #queue = new RequestQueue();
	#periodTimer: NodeJS.Timeout | undefined;
	#delayTimer: NodeJS.Timeout | undefined;
	#isDispatching = false;
	/** A dispatch has become due while another one was in progress. */
	#isDispatchDue = false;
	#isDisposed = false;

	constructor(loopLag: LoopLag) {
		this.#loopLag = loopLag;
	}

	/** Number of queued requests. */
	get size(): number {
		return this.#queue.size;
	}

	/** The queued requests in no particular order. */
	[Symbol.iterator](): Iterator<QueuedRequest> {
		return this.#queue[Symbol.iterator]();
	}

	/** Places a request or queues it. It does not queue behind more urgent requests, because it is denied the capacity that those could use. */
	submit(request: QueuedRequest): void {
		if (!request.tryPlace(monotonicNow())) {
			this.#queue.add(request);
			this.#startPeriodTimer();
		}
	}

	/** Schedules a dispatch after an event that may have freed capacity. */
	dispatchSoon(): void {
		if (this.#queue.size > 0 && !this.#isDisposed) {
			this.#delayTimer ??= setTimeout(() => {
				void this.#dispatch();
			}, dispatchDelayMs);
		}
	}

	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#periodTimer);
		clearTimeout(this.#delayTimer);
	}

	/** Tries to place the queued requests. A process that is behind, and a long dispatch again and again, first reads its sockets, so that no request is placed whose caller has disconnected. */
	async #dispatch(): Promise<void> {
		clearTimeout(this.#delayTimer);
		clearTimeout(this.#periodTimer);
		this.#delayTimer = undefined;
		this.#periodTimer = undefined;
		if (this.#isDispatching) {
			this.#isDispatchDue = true;
			return;
		}

		this.#isDispatching = true;
		await this.#placeAll();
		this.#isDispatching = false;
		if (this.#isDispatchDue) {
			this.#isDispatchDue = false;
			this.dispatchSoon();
		}

		if (this.#queue.size > 0) {
			this.#startPeriodTimer();
		}
	}

	async #placeAll(): Promise<void> {
		await this.#loopLag.catchUp();
		let sliceStartedAt = monotonicNow();
		for (const request of this.#queue.ordered(sliceStartedAt)) {
			if (monotonicNow() - sliceStartedAt > maxSliceMs) {
				await this.#loopLag.readSockets();
				sliceStartedAt = monotonicNow();
			}

			this.#queue.tryPlace(request, monotonicNow());
		}
	}

	#startPeriodTimer(): void {
		if (!this.#isDisposed) {
			this.#periodTimer ??= setTimeout(() => {
				void this.#dispatch();
			}, dispatchPeriodMs);
		}
	}
}
