import type {VirtualClock} from '../virtual-clock.js';
import type {History} from './history.js';

/** State machine of one role. */
export type Machine<Message, Effect> = {
	handle(message: Message, now: number): Effect[];
	nextWake(): number | undefined;
	dump(): unknown;
};

export type HostOptions<Message, Effect> = {
	readonly name: string;
	readonly clock: VirtualClock;
	readonly history: History;
	/** Message by which the machine learns that time has passed. */
	readonly tick: Message;
	/** Difference of the process's monotonic clock to virtual time, in milliseconds. */
	readonly clockOffsetMs: number;
	readonly create: (incarnation: string) => Machine<Message, Effect>;
	/** Must not call back into the host before it returns. */
	readonly onEffect: (effect: Effect) => void;
};

/** Ticks without progress after which a machine counts as spinning. */
const maxIdleTicks = 100;

/** A process around one machine: it can be paused, killed and restarted. */
export class Host<Message, Effect> {
	readonly name: string;
	readonly #options: HostOptions<Message, Effect>;
	#machine: Machine<Message, Effect> | undefined;
	#count = 0;
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
		return this.#machine ? `${this.name}+${this.#count}` : undefined;
	}

	get pausedSince(): number | undefined {
		return this.#pausedSince;
	}

	start(): void {
		this.#count++;
		this.#machine = this.#options.create(`${this.name}+${this.#count}`);
	}

	kill(): void {
		this.#note('killed');
		this.#endPause();
		this.#machine = undefined;
		this.#inbox = [];
		this.#wakeAt = undefined;
	}

	pause(): void {
		if (this.#machine && this.#pausedSince === undefined) {
			this.#note('paused');
			this.#pausedSince = this.#options.clock.now;
		}
	}

	/** Runs `first`, then everything that piled up during the pause, then the timers. */
	resume(first: () => void): void {
		if (this.#pausedSince === undefined) {
			return;
		}

		this.#note('resumed');
		this.#endPause();
		first();
		const inbox = this.#inbox;
		this.#inbox = [];
		for (const action of inbox) {
			action();
		}

		this.#schedule();
	}

	/** Runs an action inside the process, after a pause if there is one; dropped when the incarnation is over. */
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

	/** Hands a message to the machine. */
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
			// The timer is scheduled again on resumption.
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
				`${this.name} asks for a wake that has passed, ${maxIdleTicks} times in a row`,
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

	#note(text: string): void {
		this.#options.history.lines.push(
			`${this.#options.clock.now.toFixed(1)} ${this.name} ${text}`,
		);
	}
}
