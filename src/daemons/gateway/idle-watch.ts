import type {Disposable} from '../../base/index.js';
import type {GoneCause, Upstream} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {CheckedLiveness} from './liveness-checks.js';

/** Time after which a timeout is reported again while the send continues, in milliseconds. */
const repeatMs = 250;

/** Time after which an endpoint that has been found silent is checked again, in milliseconds. */
const silentCheckMs = 1000;

export type IdleWatchOptions = {
	readonly upstream: Upstream;
	/** Idle time after which the endpoint's liveness is checked, in milliseconds; undefined to never check it. */
	readonly checkMs: number | undefined;
	/** Finds out on other connections whether an endpoint that has been silent since a time on the monotonic clock is alive. */
	readonly checkLiveness: (silentSince: number) => Promise<CheckedLiveness>;
	/** Resolves when all data that has arrived has been read: after a pause of this process, timers run before sockets are read. */
	readonly readSockets: () => Promise<void>;
	/** Called when the timeout has passed, and again some time after it has resolved while the period lasts; never rejects. `isIdle` tells whether the period still lasts. */
	readonly onDidTimeOut: (
		timeoutMs: number,
		isIdle: () => boolean,
	) => Promise<void>;
	readonly onDidLoseEndpoint: (cause: GoneCause) => void;
	/** Called when the endpoint has been silent for longer than one that pauses, and again after each further check that finds it silent; never rejects. `isIdle` is as above. */
	readonly onDidFallSilent: (isIdle: () => boolean) => Promise<void>;
};

/** Watches the idle time of one send: reports a timeout, and an endpoint that is gone. */
export class IdleWatch implements Disposable {
	readonly #options: IdleWatchOptions;
	#timer: NodeJS.Timeout | undefined;
	/** Changes with each restart, so that the result of an earlier check is ignored. */
	#period = 0;
	#idleSince = 0;
	#timeoutMs = 0;
	/** Time on the monotonic clock at which the timeout is reported next. */
	#timeoutAt = 0;
	/** Time of the last check, or of the start of the period. Compared with the last sign of life, as timers may fire a little early. */
	#checkedAt = 0;
	/** Time from then to the next check, in milliseconds. */
	#nextCheckMs = Number.POSITIVE_INFINITY;
	#isChecking = false;
	#isDisposed = false;

	constructor(options: IdleWatchOptions) {
		this.#options = options;
	}

	/** Begins an idle period with a timeout in milliseconds; does nothing after `dispose`. */
	restart(timeoutMs: number): void {
		if (this.#isDisposed) {
			return;
		}

		this.pause();
		this.#idleSince = monotonicNow();
		this.#recordCheck(this.#options.checkMs);
		this.#timeoutMs = timeoutMs;
		this.#timeoutAt = this.#idleSince + timeoutMs;
		this.#isChecking = false;
		this.#schedule();
	}

	/** Stops watching until the next `restart`. */
	pause(): void {
		clearTimeout(this.#timer);
		this.#period++;
	}

	dispose(): void {
		this.#isDisposed = true;
		this.pause();
	}

	#recordCheck(nextCheckMs = Number.POSITIVE_INFINITY): void {
		this.#checkedAt = monotonicNow();
		this.#nextCheckMs = nextCheckMs;
	}

	#schedule(): void {
		clearTimeout(this.#timer);
		const now = monotonicNow();
		const timeoutAt = this.#timeoutAt;
		const checkAt = this.#isChecking
			? Number.POSITIVE_INFINITY
			: this.#checkedAt + this.#nextCheckMs;
		this.#timer = setTimeout(
			() => {
				if (checkAt < timeoutAt) {
					void this.#check();
				} else {
					void this.#timeOut();
				}
			},
			Math.max(0, Math.min(checkAt, timeoutAt) - now),
		);
	}

	async #timeOut(): Promise<void> {
		const period = this.#period;
		const isIdle = () => period === this.#period;
		await this.#options.readSockets();
		if (!isIdle()) {
			return;
		}

		await this.#options.onDidTimeOut(this.#timeoutMs, isIdle);
		if (isIdle()) {
			this.#timeoutAt = monotonicNow() + repeatMs;
			this.#schedule();
		}
	}

	/** Checks whether the endpoint is alive, unless it has shown so on another connection in the meantime. */
	async #check(): Promise<void> {
		const {
			upstream,
			checkMs,
			checkLiveness,
			onDidLoseEndpoint,
			onDidFallSilent,
		} = this.#options;
		const wasAlive = upstream.lastAliveAt > this.#checkedAt;
		this.#recordCheck(checkMs);
		if (wasAlive) {
			this.#schedule();
			return;
		}

		const period = this.#period;
		const isIdle = () => period === this.#period;
		this.#isChecking = true;
		this.#schedule();
		const liveness = await checkLiveness(
			Math.max(this.#idleSince, upstream.lastAliveAt),
		);
		if (!isIdle()) {
			return;
		}

		switch (liveness.type) {
			case 'alive': {
				this.#endCheck(checkMs);
				break;
			}

			case 'silent': {
				await onDidFallSilent(isIdle);
				if (isIdle()) {
					this.#endCheck(silentCheckMs);
				}

				break;
			}

			case 'gone': {
				onDidLoseEndpoint(liveness.cause);
				break;
			}
		}
	}

	#endCheck(nextCheckMs: number | undefined): void {
		this.#isChecking = false;
		this.#recordCheck(nextCheckMs);
		this.#schedule();
	}
}
