import type {PromptPart} from '../../interfaces/index.js';

/** Parts remembered for one engine at most; bounds memory where parts are tiny. */
const maxParts = 2000;

/** Part of an engine's memory that holds cached prompt parts; running requests need the rest. */
const cachedPart = 0.6;

/** Which prompt parts one engine holds, as far as this gateway's own requests tell. Least recently used parts are dropped first, as the engine does. */
export class PrefixMemory {
	readonly #capacityTokens: number;
	/** Tokens by chain of part ids, in order of last use. */
	readonly #chains = new Map<string, number>();
	#tokens = 0;

	constructor(kvTokens: number) {
		this.#capacityTokens = kvTokens * cachedPart;
	}

	/** Leading tokens of a prompt that the engine holds; a part counts only when all before it do. */
	cachedTokens(parts: readonly PromptPart[]): number {
		let tokens = 0;
		for (const [chain, part] of chains(parts)) {
			if (!this.#chains.has(chain)) {
				break;
			}

			tokens += part.tokens;
		}

		return tokens;
	}

	/** Notes that the engine has read a prompt. */
	read(parts: readonly PromptPart[]): void {
		for (const [chain, {tokens}] of chains(parts)) {
			if (this.#chains.delete(chain)) {
				this.#tokens -= tokens;
			}

			this.#chains.set(chain, tokens);
			this.#tokens += tokens;
		}

		for (const [chain, tokens] of this.#chains) {
			if (
				this.#tokens <= this.#capacityTokens &&
				this.#chains.size <= maxParts
			) {
				break;
			}

			this.#chains.delete(chain);
			this.#tokens -= tokens;
		}
	}
}

function* chains(
	parts: readonly PromptPart[],
): Generator<[string, PromptPart]> {
	let chain = '';
	for (const part of parts) {
		chain = `${chain}/${part.id}`;
		yield [chain, part];
	}
}
