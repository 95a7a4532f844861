import type {Random} from '../base/index.js';
import type {TableAnswer, TableCall} from '../interfaces/index.js';
import type {MemoryTable} from '../interfaces/standins/index.js';
import type {VirtualClock} from './virtual-clock.js';

/** Maximum delay until a commit whose answer was lost takes effect, in milliseconds. */
export const maxCommitDelayMs = 15_000;
/** Maximum one-way latency to or from the table, in milliseconds. */
const maxOneWayMs = 5;

/** Table in virtual time that can be unavailable, lose answers and apply commits late. */
export class FaultyTable {
	isDown = false;
	/** Fraction of the commits whose answer is lost, 0 to 1; a third of these is applied at once, a third late, a third never. */
	uncertain = 0;
	readonly #table: MemoryTable;
	readonly #clock: VirtualClock;
	readonly #random: Random;

	constructor(table: MemoryTable, clock: VirtualClock, random: Random) {
		this.#table = table;
		this.#clock = clock;
		this.#random = random;
	}

	/** Executes a call and returns its answer, each after a random latency of up to `maxOneWayMs`. */
	call(call: TableCall, onAnswer: (answer: TableAnswer) => void): void {
		this.#clock.after(maxOneWayMs * this.#random.next(), () => {
			const answer = this.#execute(call);
			this.#clock.after(maxOneWayMs * this.#random.next(), () => {
				onAnswer(answer);
			});
		});
	}

	#execute(call: TableCall): TableAnswer {
		if (this.isDown) {
			return {type: 'unavailable'};
		}

		if (call.type !== 'commit' || this.#random.next() >= this.uncertain) {
			return this.#table.callSync(call);
		}

		const effect = this.#random.integer(3);
		if (effect === 0) {
			this.#table.callSync(call);
		} else if (effect === 1) {
			this.#clock.after(this.#random.next() * maxCommitDelayMs, () => {
				this.#table.callSync(call);
			});
		}

		return {type: 'uncertain'};
	}
}
