import {z} from 'zod';
import type {Row, TableAnswer, TableCall} from '../../interfaces/index.js';

const removalSchema = z.object({endpoints: z.array(z.string())});

/** Key of the list of endpoints that have claimed to stop serving a model. */
export function removalKey(model: string): string {
	return `model/${model}/removal`;
}

/** Claims the removal of one endpoint of a model, so that two do not remove themselves as each other's remaining one; or takes the claim back. */
export class Removal {
	readonly #key: string;
	readonly #endpoint: string;
	/** Endpoints that serve the model, as membership and records show them. */
	readonly #serving: readonly string[];
	readonly #isReturn: boolean;
	#row: Row | undefined;
	#isRead = false;
	#result: 'allowed' | 'refused' | undefined;

	/** Without `serving`, takes an earlier claim back. */
	constructor(model: string, endpoint: string, serving?: readonly string[]) {
		this.#key = removalKey(model);
		this.#endpoint = endpoint;
		this.#serving = serving ?? [];
		this.#isReturn = serving === undefined;
	}

	/** Undefined while not known. */
	get result(): 'allowed' | 'refused' | undefined {
		return this.#result;
	}

	call(): TableCall {
		const key = this.#key;
		if (!this.#isRead) {
			return {type: 'read', key};
		}

		const others = this.#claimed().filter((id) => id !== this.#endpoint);
		// Claims of endpoints that no longer serve are done with.
		const endpoints = this.#isReturn
			? others
			: [...others.filter((id) => this.#serving.includes(id)), this.#endpoint];
		return {
			type: 'commit',
			transaction: {
				checks: [{key, revision: this.#row?.revision ?? 0}],
				writes: [{key, value: JSON.stringify({endpoints})}],
			},
		};
	}

	onAnswer(answer: TableAnswer): void {
		switch (answer.type) {
			case 'row': {
				this.#observe(answer.row);
				break;
			}

			case 'decision': {
				if (answer.decision.type === 'committed') {
					this.#result = 'allowed';
				} else {
					this.#observe(answer.decision.current);
				}

				break;
			}

			case 'uncertain': {
				this.#isRead = false;
				break;
			}

			case 'unavailable':
			case 'rows': {
				break;
			}
		}
	}

	#observe(row: Row | undefined): void {
		this.#row = row;
		this.#isRead = true;
		const claimed = this.#claimed();
		if (this.#isReturn) {
			this.#result = claimed.includes(this.#endpoint) ? undefined : 'allowed';
			return;
		}

		const remaining = this.#serving.filter(
			(id) => id !== this.#endpoint && !claimed.includes(id),
		);
		if (remaining.length === 0) {
			this.#result = 'refused';
		}
	}

	#claimed(): string[] {
		return this.#row
			? removalSchema.parse(JSON.parse(this.#row.value)).endpoints
			: [];
	}
}
