import type {Random} from '../../base/index.js';
import type {TableAnswer, TableCall} from '../../interfaces/index.js';
import {MemoryTable} from '../../interfaces/standins/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import type {Step} from './plan.js';

type Mode = Extract<Step, {type: 'table'}>['mode'];

/** Time after which a client stops waiting for the table, in milliseconds. */
const clientTimeoutMs = 2000;

/** Simulated table whose operations can be refused or delayed, and whose writes can fail before or after they take effect. */
export class FakeTable {
	readonly #rows = new MemoryTable();
	readonly #clock: VirtualClock;
	readonly #random: Random;
	#mode: Mode | undefined;

	constructor(clock: VirtualClock, random: Random) {
		this.#clock = clock;
		this.#random = random;
	}

	setMode(mode: Mode | undefined): void {
		this.#mode = mode;
	}

	call(call: TableCall, onAnswer: (answer: TableAnswer) => void): void {
		const request = 0.5 + this.#random.next() * 5;
		const response = 0.5 + this.#random.next() * 5;
		const isWrite = call.type === 'commit';
		const answerAfter = (ms: number, answer: TableAnswer): void => {
			this.#clock.after(ms, () => {
				onAnswer(answer);
			});
		};

		// The mode at the start of a call applies until its answer.
		switch (this.#mode) {
			case undefined: {
				this.#clock.after(request, () => {
					answerAfter(response, this.#apply(call));
				});
				break;
			}

			case 'refused': {
				answerAfter(request, {type: 'unavailable'});
				break;
			}

			case 'lostBefore': {
				answerAfter(clientTimeoutMs, {
					type: isWrite ? 'uncertain' : 'unavailable',
				});
				break;
			}

			case 'lostAfter': {
				this.#clock.after(request, () => {
					this.#apply(call);
				});
				answerAfter(clientTimeoutMs, {
					type: isWrite ? 'uncertain' : 'unavailable',
				});
				break;
			}

			case 'late': {
				this.#clock.after(clientTimeoutMs * 1.5, () => {
					this.#apply(call);
				});
				answerAfter(clientTimeoutMs, {
					type: isWrite ? 'uncertain' : 'unavailable',
				});
				break;
			}

			case 'hanging': {
				answerAfter(30_000, {type: isWrite ? 'uncertain' : 'unavailable'});
				break;
			}
		}
	}

	#apply(call: TableCall): TableAnswer {
		switch (call.type) {
			case 'read': {
				return {type: 'row', row: this.#rows.readSync(call.key)};
			}

			case 'scan': {
				return {
					type: 'rows',
					rows: this.#rows.scanSync(call.prefix, call.after, call.limit),
				};
			}

			case 'commit': {
				return {
					type: 'decision',
					decision: this.#rows.commitSync(call.transaction),
				};
			}
		}
	}
}
