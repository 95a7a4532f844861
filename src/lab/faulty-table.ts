import type {Random} from '../base/index.js';
import type {TableAnswer, TableCall} from '../interfaces/index.js';
import type {MemoryTable} from '../interfaces/standins/index.js';
import type {VirtualClock} from './virtual-clock.js';

/** Longest time after which a commit whose answer was lost takes effect, in milliseconds. */
export const longestCommitDelayMs = 15_000;
/** Longest way to or from the table, in milliseconds. */
const wayMs = 5;

/** A table in virtual time that loses answers and carries commits out late. */
export class FaultyTable {
	isDown = false;
	/** Part of the commits whose answer is lost, 0 to 1; a third of these never take effect, a third do late. */
	uncertain = 0;
	readonly #table: MemoryTable;
	readonly #clock: VirtualClock;
	readonly #random: Random;

	constructor(table: MemoryTable, clock: VirtualClock, random: Random) {
		this.#table = table;
		this.#clock = clock;
		this.#random = random;
	}

	/** Carries a call out and hands the answer back, both after a short delay. */
	call(call: TableCall, onAnswer: (answer: TableAnswer) => void): void {
		this.#clock.after(wayMs * this.#random.next(), () => {
			const answer = this.#answer(call);
			this.#clock.after(wayMs * this.#random.next(), () => {
				onAnswer(answer);
			});
		});
	}

	#answer(call: TableCall): TableAnswer {
		if (this.isDown) {
			return {type: 'unavailable'};
		}

		if (call.type !== 'commit' || this.#random.next() >= this.uncertain) {
			return this.#table.callNow(call);
		}

		const kind = this.#random.integer(3);
		if (kind === 0) {
			this.#table.callNow(call);
		} else if (kind === 1) {
			this.#clock.after(this.#random.next() * longestCommitDelayMs, () => {
				this.#table.callNow(call);
			});
		}

		return {type: 'uncertain'};
	}
}
