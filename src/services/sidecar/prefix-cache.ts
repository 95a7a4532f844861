import {sampledLength} from '../../base/index.js';
import {prefixBlockTokens, type CacheEvent} from '../../interfaces/index.js';

/** Maximum number of blocks tracked; the least recently confirmed is evicted. */
const maxBlocks = 65_536;
/** After a gap in the event numbers, blocks that were not confirmed for this time are dropped, in milliseconds. */
const unconfirmedMs = 30_000;

type Block = {
	/** Number of the last event on the block; 0 when it is only known from a prompt. */
	readonly number: number;
	readonly confirmedAt: number;
	readonly stored: boolean;
};

/**
 * Estimate of the engine's prefix cache from its events, which arrive late and
 * may be lost. An error only makes the estimates based on it less accurate.
 */
export class PrefixCache {
	/** Least recently confirmed first. */
	readonly #blocks = new Map<string, Block>();
	#lastNumber = 0;

	onEvents(events: readonly CacheEvent[], now: number): void {
		for (const {type, block, number} of events) {
			if (number > this.#lastNumber + 1) {
				this.#dropUnconfirmed(now);
			}

			this.#lastNumber = Math.max(this.#lastNumber, number);
			if (number > (this.#blocks.get(block)?.number ?? 0)) {
				this.#set(block, {number, confirmedAt: now, stored: type === 'stored'});
			}
		}
	}

	/** The engine has processed a prompt with these prefix blocks, so it holds them now. */
	onPrompt(prefix: readonly string[], now: number): void {
		for (const block of prefix) {
			const number = this.#blocks.get(block)?.number ?? 0;
			this.#set(block, {number, confirmedAt: now, stored: true});
		}
	}

	/** Tokens of the prompt that are expected to be cached; `prefix` is sampled. */
	cachedTokens(prefix: readonly string[]): number {
		const missing = prefix.findIndex(
			(block) => !this.#blocks.get(block)?.stored,
		);
		const cached = missing === -1 ? prefix.length : missing;
		return cached === 0 ? 0 : sampledLength(cached - 1) * prefixBlockTokens;
	}

	dump(): unknown {
		return {blocks: this.#blocks.size, lastNumber: this.#lastNumber};
	}

	#set(name: string, block: Block): void {
		this.#blocks.delete(name);
		this.#blocks.set(name, block);
		if (this.#blocks.size > maxBlocks) {
			const [oldest] = this.#blocks.keys();
			this.#blocks.delete(oldest!);
		}
	}

	/** A lost event may have been an eviction. */
	#dropUnconfirmed(now: number): void {
		for (const [name, {confirmedAt}] of this.#blocks) {
			if (now - confirmedAt < unconfirmedMs) {
				break;
			}

			this.#blocks.delete(name);
		}
	}
}
