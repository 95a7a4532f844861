import type {Disposable} from '../../base/index.js';
import {readSockets} from '../read-sockets.js';
import {monotonicNow} from '../state-machine.js';

/** Time between two samples of the event loop's lag, in milliseconds. */
const sampleIntervalMs = 50;

/** Delay of a sample that still counts as normal, in milliseconds. */
const normalDelayMs = 150;

/** Delay of a sample that is reported, in milliseconds: requests whose callers left meanwhile may be sent on. */
const reportedDelayMs = 300;

/** Detects that the process is short of processor time, so that data waits in its sockets before it is read. */
export class LoopLag implements Disposable {
	/** Called when the event loop has not turned for long, with the time in milliseconds. */
	onDidStall: (stalledMs: number) => void = () => undefined;
	readonly #timer: NodeJS.Timeout;
	#sampledAt = monotonicNow();
	/** Remains set for two turns after a late sample: the timers of a late turn run before its sockets are read. */
	#isCatchingUp = false;

	constructor() {
		this.#timer = setInterval(() => {
			if (this.#isLate) {
				void this.#trackCatchUp();
			}

			const now = monotonicNow();
			const stalledMs = now - this.#sampledAt;
			this.#sampledAt = now;
			if (stalledMs > sampleIntervalMs + reportedDelayMs) {
				this.onDidStall(stalledMs);
			}
		}, sampleIntervalMs);
	}

	/** Whether the event loop is late, or was late and has not read its sockets since. */
	get isBehind(): boolean {
		return this.#isCatchingUp || this.#isLate;
	}

	get #isLate(): boolean {
		return monotonicNow() - this.#sampledAt > sampleIntervalMs + normalDelayMs;
	}

	/** Lets pending socket events be handled first, such as the disconnect of a caller. Resolves at once when the process is not behind. */
	async catchUp(): Promise<void> {
		if (this.isBehind) {
			await this.readSockets();
		}
	}

	/** Resolves when all socket events that are pending now have been handled. */
	async readSockets(): Promise<void> {
		await readSockets();
	}

	async #trackCatchUp(): Promise<void> {
		this.#isCatchingUp = true;
		await this.readSockets();
		this.#isCatchingUp = false;
	}

	dispose(): void {
		clearInterval(this.#timer);
	}
}
