import type {VirtualClock} from './virtual-clock.js';

/** Any role of the system: messages in, effects out. */
export type Machine<Message, Effect> = {
	handle(message: Message | {type: 'tick'}, now: number): Effect[];
	nextWake(): number | undefined;
};

/** Drives a state machine in virtual time and hands its effects on. */
export class MachineDriver<Message, Effect> {
	readonly #clock: VirtualClock;
	readonly #machine: Machine<Message, Effect>;
	readonly #onEffect: (effect: Effect) => void;
	#wakeAt = Infinity;

	constructor(
		clock: VirtualClock,
		machine: Machine<Message, Effect>,
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
