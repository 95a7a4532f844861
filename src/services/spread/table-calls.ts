import type {TableCall} from '../../interfaces/index.js';
import type {SpreadEffect} from './message.js';

/** Timeout of a table operation, in milliseconds. */
const tableTimeoutMs = 10_000;

/** What a table operation reads. */
export type TablePurpose = 'head' | 'log' | 'records';

/** Starts table operations, one at a time, and counts consecutive failures. */
export class TableCalls {
	readonly #emit: (effect: SpreadEffect) => void;
	#call:
		| {
				readonly id: string;
				readonly purpose: TablePurpose;
				readonly until: number;
		  }
		| undefined;

	#callCount = 0;
	#failures = 0;

	constructor(emit: (effect: SpreadEffect) => void) {
		this.#emit = emit;
	}

	/** Whether an operation is in progress. */
	get isBusy(): boolean {
		return this.#call !== undefined;
	}

	/** Number of failed operations since the last successful one. */
	get failures(): number {
		return this.#failures;
	}

	begin(purpose: TablePurpose, call: TableCall, now: number): void {
		const id = `${purpose}#${++this.#callCount}`;
		this.#call = {id, purpose, until: now + tableTimeoutMs};
		this.#emit({type: 'table', id, call});
	}

	/** Ends the operation with this id and returns its purpose; undefined if it is no longer in progress. */
	end(id: string): TablePurpose | undefined {
		if (this.#call?.id !== id) {
			return undefined;
		}

		const {purpose} = this.#call;
		this.#call = undefined;
		return purpose;
	}

	/** Gives up the operation if it has timed out, and returns whether it has. */
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
