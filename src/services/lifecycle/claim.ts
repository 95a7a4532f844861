import {z} from 'zod';
import type {TableAnswer, TableCall} from '../../interfaces/index.js';

const claimSchema = z.object({by: z.string()});

/** Inserts a row at most once. Repeating the insert is safe: a conflict with the own row means that an earlier try took effect. */
export class Claim {
	readonly key: string;
	readonly #by: string;
	#result: 'won' | 'lost' | undefined;

	constructor(key: string, by: string) {
		this.key = key;
		this.#by = by;
	}

	/** Undefined while not known. */
	get result(): 'won' | 'lost' | undefined {
		return this.#result;
	}

	call(): TableCall {
		const value = JSON.stringify({by: this.#by});
		const {key} = this;
		return {
			type: 'commit',
			transaction: {checks: [{key, revision: 0}], writes: [{key, value}]},
		};
	}

	onAnswer(answer: TableAnswer): void {
		if (answer.type !== 'decision') {
			return;
		}

		const {decision} = answer;
		if (decision.type === 'committed') {
			this.#result = 'won';
		} else if (decision.current) {
			const {by} = claimSchema.parse(JSON.parse(decision.current.value));
			this.#result = by === this.#by ? 'won' : 'lost';
		}
	}
}
