import {performance} from 'node:perf_hooks';
import type {Disposable} from '../base/index.js';

/** Deterministic state machine: messages in, effects out, with time passed in. */
export type Machine<Message, Effect> = {
	handle(message: Message, now: number): Effect[];
	/** Monotonic time at which it needs a `tick`, in milliseconds; undefined when none is due. */
	nextWake(): number | undefined;
	dump(): unknown;
};

/** Current time of the monotonic clock, in milliseconds. */
export function monotonicNow(): number {
	return performance.now();
}

/** Runs a state machine: passes it messages and ticks, and applies its effects in order. */
export class StateMachineRunner<
	Message extends {type: string},
	Effect,
> implements Disposable {
	readonly #machine: Machine<Message | {type: 'tick'}, Effect>;
	readonly #applyEffect: (effect: Effect) => void;
	#timer: NodeJS.Timeout | undefined;
	#wakeAt: number | undefined;
	#isDisposed = false;

	constructor(
		machine: Machine<Message | {type: 'tick'}, Effect>,
		applyEffect: (effect: Effect) => void,
	) {
		this.#machine = machine;
		this.#applyEffect = applyEffect;
	}

	post(message: Message | {type: 'tick'}): void {
		if (this.#isDisposed) {
			return;
		}

		const effects = this.#machine.handle(message, monotonicNow());
		this.#schedule();
		for (const effect of effects) {
			this.#applyEffect(effect);
		}
	}

	dump(): unknown {
		return this.#machine.dump();
	}

	dispose(): void {
		this.#isDisposed = true;
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
