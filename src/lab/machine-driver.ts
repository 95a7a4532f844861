import type {VirtualClock} from './virtual-clock.js';

/** State machine that returns effects for each message; `nextWake` is the time of its next tick. */
export type StateMachine<Message, Effect> = {
	handle(message: Message | {type: 'tick'}, now: number): Effect[];
	nextWake(): number | undefined;
};

/** Runs a state machine in virtual time: passes its effects to a callback and sends ticks when due. */
export class MachineDriver<Message, Effect> {
	readonly #clock: VirtualClock;
	readonly #machine: StateMachine<Message, Effect>;
	readonly #onEffect: (effect: Effect) => void;
	#wakeAt = Infinity;

	constructor(
		clock: VirtualClock,
		machine: StateMachine<Message, Effect>,
		onEffect: (effect: Effect) => void,
	) {
		this.#clock = clock;
		this.#machine = machine;
		this.#onEffect = onEffect;
	}

	handle(message: Message | {type: 'tick'}): void {
		for (const effect of this.#machine.handle(message, this.#clock.now)) {
			this.#onEffect(effect);
		}

		this.#schedule();
	}

	#schedule(): void {
		const next = this.#machine.nextWake() ?? Infinity;
		if (next >= this.#wakeAt) {
			return;
		}

		this.#wakeAt = Math.max(next, this.#clock.now);
		const wakeAt = this.#wakeAt;
		this.#clock.at(wakeAt, () => {
			if (this.#wakeAt === wakeAt) {
				this.#wakeAt = Infinity;
				this.handle({type: 'tick'});
			}
		});
	}
}
