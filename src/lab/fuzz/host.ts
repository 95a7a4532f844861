import type {VirtualClock} from '../virtual-clock.js';
import type {History} from './history.js';

/** State machine of an entry or a sidecar. */
export type Machine<Message, Effect> = {
	handle(message: Message, now: number): Effect[];
	nextWake(): number | undefined;
	dump(): unknown;
};

export type HostOptions<Message, Effect> = {
	readonly name: string;
	readonly clock: VirtualClock;
	readonly history: History;
	/** Message that the machine handles when its timer is due. */
	readonly tick: Message;
	/** Offset of the process's monotonic clock from virtual time, in milliseconds. */
	readonly clockOffsetMs: number;
	readonly create: (incarnation: string) => Machine<Message, Effect>;
	/** Must not call back into the host before it returns. */
	readonly onEffect: (effect: Effect) => void;
};

/** Ticks in a row that leave the timer due, after which a machine is reported as spinning and killed. */
const maxIdleTicks = 100;

/** Simulated process that runs one state machine and can be paused, killed and restarted. */
export class Host<Message, Effect> {
	readonly name: string;
	readonly #options: HostOptions<Message, Effect>;
	#machine: Machine<Message, Effect> | undefined;
	#startCount = 0;
	#pausedSince: number | undefined;
	#inbox: Array<() => void> = [];
	#wakeAt: number | undefined;
	#idleTicks = 0;

	constructor(options: HostOptions<Message, Effect>) {
		this.#options = options;
		this.name = options.name;
	}

	/** Identity of this run of the process; undefined while it is down. */
	get incarnation(): string | undefined {
		return this.#machine ? `${this.name}+${this.#startCount}` : undefined;
	}

	get pausedSince(): number | undefined {
		return this.#pausedSince;
	}

	start(): void {
		this.#startCount++;
		this.#machine = this.#options.create(`${this.name}+${this.#startCount}`);
	}

	kill(): void {
		this.#trace('killed');
		this.#endPause();
		this.#machine = undefined;
		this.#inbox = [];
		this.#wakeAt = undefined;
	}

	pause(): void {
		if (this.#machine && this.#pausedSince === undefined) {
			this.#trace('paused');
			this.#pausedSince = this.#options.clock.now;
		}
	}

	/** Ends a pause: runs `beforeInbox`, then the actions that were queued during the pause, and sets the timer again. */
	resume(beforeInbox: () => void): void {
		if (this.#pausedSince === undefined) {
			return;
		}

		this.#trace('resumed');
		this.#endPause();
		beforeInbox();
		const inbox = this.#inbox;
		this.#inbox = [];
		for (const action of inbox) {
			action();
		}

		this.#schedule();
	}

	/** Runs an action in the process, queued until the end of a pause; drops it when the incarnation has ended. */
	post(incarnation: string, action: () => void): void {
		if (this.incarnation !== incarnation) {
			return;
		}

		if (this.#pausedSince === undefined) {
			action();
		} else {
			this.#inbox.push(() => {
				if (this.incarnation === incarnation) {
					action();
				}
			});
		}
	}

	/** Delivers a message to the machine, as `post` does. */
	deliver(incarnation: string, message: Message): void {
		this.post(incarnation, () => {
			this.#handle(message);
		});
	}

	dump(): unknown {
		return this.#machine?.dump();
	}

	#handle(message: Message): void {
		const now = this.#options.clock.now + this.#options.clockOffsetMs;
		try {
			for (const effect of this.#machine!.handle(message, now)) {
				this.#options.onEffect(effect);
			}
		} catch (error) {
			this.#options.history.exceptions.push(
				`${this.name} threw on ${JSON.stringify(message)}: ${String(error)}`,
			);
		}

		this.#schedule();
	}

	#schedule(): void {
		const wake = this.#machine?.nextWake();
		if (wake === undefined) {
			this.#wakeAt = undefined;
			return;
		}

		const {clock, clockOffsetMs} = this.#options;
		const time = Math.max(wake - clockOffsetMs, clock.now);
		if (this.#wakeAt !== undefined && this.#wakeAt <= time) {
			return;
		}

		this.#wakeAt = time;
		clock.at(time, () => {
			this.#onWake(time);
		});
	}

	#onWake(time: number): void {
		if (this.#wakeAt !== time || !this.#machine) {
			return;
		}

		if (this.#pausedSince !== undefined) {
			// Resuming sets the timer again.
			this.#wakeAt = undefined;
			return;
		}

		this.#wakeAt = undefined;
		const {clock, clockOffsetMs} = this.#options;
		const before = this.#machine.nextWake();
		if (before === undefined || before - clockOffsetMs > clock.now) {
			this.#schedule();
			return;
		}

		this.#handle(this.#options.tick);
		const wake = this.#machine.nextWake();
		this.#idleTicks =
			wake !== undefined && wake - clockOffsetMs <= clock.now
				? this.#idleTicks + 1
				: 0;
		if (this.#idleTicks > maxIdleTicks) {
			this.#options.history.exceptions.push(
				`${this.name} requests a wake time that has passed, ${maxIdleTicks} times in a row`,
			);
			this.kill();
		}
	}

	#endPause(): void {
		if (this.#pausedSince !== undefined) {
			this.#options.history.pauses.push({
				process: this.name,
				from: this.#pausedSince,
				to: this.#options.clock.now,
			});
			this.#pausedSince = undefined;
		}
	}

	#trace(text: string): void {
		this.#options.history.lines.push(
			`${this.#options.clock.now.toFixed(1)} ${this.name} ${text}`,
		);
	}
}
