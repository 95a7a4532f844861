import type {TableCall} from '../../interfaces/index.js';
import type {SpreadEffect} from './message.js';

/** Time after which the answer of a table operation is no longer awaited, in milliseconds. */
const tableTimeoutMs = 10_000;

/** What a table operation reads. */
export type TablePurpose = 'head' | 'log' | 'records';

/** Makes table operations one at a time and counts those that fail in a row. */
export class TableCalls {
	readonly #emit: (effect: SpreadEffect) => void;
	#call:
		| {
				readonly id: string;
				readonly purpose: TablePurpose;
				readonly until: number;
		  }
		| undefined;

	#calls = 0;
	#failures = 0;

	constructor(emit: (effect: SpreadEffect) => void) {
		this.#emit = emit;
	}

	/** Whether an answer is awaited. */
	get isBusy(): boolean {
		return this.#call !== undefined;
	}

	/** Operations that have failed since the last one that succeeded. */
	get failures(): number {
		return this.#failures;
	}

	begin(purpose: TablePurpose, call: TableCall, now: number): void {
		const id = `${purpose}#${++this.#calls}`;
		this.#call = {id, purpose, until: now + tableTimeoutMs};
		this.#emit({type: 'table', id, call});
	}

	/** Ends the operation whose answer has come, and returns its purpose; undefined for an answer that is no longer awaited. */
	end(id: string): TablePurpose | undefined {
		if (this.#call?.id !== id) {
			return undefined;
		}

		const {purpose} = this.#call;
		this.#call = undefined;
		return purpose;
	}

	/** Gives up an operation whose answer is overdue; returns whether there was one. */
	expire(now: number): boolean {
		if (!this.#call || this.#call.until > now) {
			return false;
		}

		this.#call = undefined;
		return true;
	}

	onSuccess(): void {
		this.#failures = 0;
	}

	onFailure(): void {
		this.#failures++;
	}
}
