import {performance} from 'node:perf_hooks';
import type {Disposable} from '../base/index.js';

/** Deterministic state machine of a role. */
export type Machine<Message, Effect> = {
	handle(message: Message, now: number): Effect[];
	/** Monotonic time at which it wants a `tick`, in milliseconds. */
	nextWake(): number | undefined;
	dump(): unknown;
};

/** Milliseconds of the monotonic clock. */
export function monotonicNow(): number {
	return performance.now();
}

/** Owns a state machine: feeds it messages and ticks, and carries out its effects in order. */
export class Task<
	Message extends {type: string},
	Effect,
> implements Disposable {
	readonly #machine: Machine<Message | {type: 'tick'}, Effect>;
	readonly #carryOut: (effect: Effect) => void;
	#timer: NodeJS.Timeout | undefined;
	#wakeAt: number | undefined;
	#disposed = false;

	constructor(
		machine: Machine<Message | {type: 'tick'}, Effect>,
		carryOut: (effect: Effect) => void,
	) {
		this.#machine = machine;
		this.#carryOut = carryOut;
	}

	post(message: Message | {type: 'tick'}): void {
		if (this.#disposed) {
			return;
		}

		const effects = this.#machine.handle(message, monotonicNow());
		this.#schedule();
		for (const effect of effects) {
			this.#carryOut(effect);
		}
	}

	dump(): unknown {
		return this.#machine.dump();
	}

	dispose(): void {
		this.#disposed = true;
		clearTimeout(this.#timer);
	}

	#schedule(): void {
		const wakeAt = this.#machine.nextWake();
		if (wakeAt === this.#wakeAt) {
			return;
		}

		clearTimeout(this.#timer);
		this.#wakeAt = wakeAt;
		if (wakeAt !== undefined) {
			const delay = Math.max(0, Math.ceil(wakeAt - monotonicNow()));
			this.#timer = setTimeout(() => {
				this.#wakeAt = undefined;
				this.post({type: 'tick'});
			}, delay);
		}
	}
}
