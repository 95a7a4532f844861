import {hash32} from '../../base/index.js';
import type {PromptPart} from '../../interfaces/index.js';

/** One part of a prompt, identified by a hash of all parts up to and including it. */
export type PrefixLink = {
	readonly hash: number;
	/** Tokens of this part alone. */
	readonly tokens: number;
};

/** Maximum number of links in the index of one engine; bounds the gateway's memory when parts are tiny. */
const maxLinks = 2000;

/** Fraction of an engine's KV cache that holds cached prompt parts; running requests need the rest. */
const cachedFraction = 0.6;

/** Time in milliseconds after which a part whose prefill has begun counts as not cached: its request has failed or is queued behind many others. */
const maxPendingMs = 3000;

/** `pendingSince` is the start of the part's prefill, and undefined once the part is cached. */
type Entry = {readonly tokens: number; pendingSince: number | undefined};

/** Returns the links of a prompt, in order. Equal hashes mean equal leading parts. */
export function prefixLinks(parts: readonly PromptPart[]): PrefixLink[] {
	const links: PrefixLink[] = [];
	let chain = '';
	for (const {id, tokens} of parts) {
		chain = `${chain}/${id}`;
		links.push({hash: hash32(chain), tokens});
	}

	return links;
}

/** Estimates which prompt parts an engine has cached, from the requests that the gateways sent it. Evicts the least recently used parts first, as the engine does. */
export class PrefixIndex {
	readonly #capacityTokens: number;
	/** By hash, least recently used first. */
	readonly #entries = new Map<number, Entry>();
	#tokens = 0;

	constructor(kvTokens: number) {
		this.#capacityTokens = kvTokens * cachedFraction;
	}

	/** Leading tokens of a prompt that the engine has cached; a part counts only if all parts before it do. */
	cachedTokens(links: readonly PrefixLink[]): number {
		let tokens = 0;
		for (const link of links) {
			const entry = this.#entries.get(link.hash);
			if (!entry || entry.pendingSince !== undefined) {
				break;
			}

			tokens += link.tokens;
		}

		return tokens;
	}

	/** Leading tokens that the engine has cached or is prefilling for another request. */
	expectedTokens(links: readonly PrefixLink[], now: number): number {
		let tokens = 0;
		for (const link of links) {
			const entry = this.#entries.get(link.hash);
			if (
				!entry ||
				(entry.pendingSince !== undefined &&
					now - entry.pendingSince > maxPendingMs)
			) {
				break;
			}

			tokens += link.tokens;
		}

		return tokens;
	}

	/** Marks the parts of a prompt that are not cached as pending: their prefill begins. */
	begin(links: readonly PrefixLink[], now: number): void {
		for (const {hash, tokens} of links) {
			const entry = this.#entries.get(hash);
			this.#set(hash, {
				tokens,
				pendingSince:
					entry && entry.pendingSince === undefined ? undefined : now,
			});
		}

		this.#evict();
	}

	/** Marks all parts of a prompt as cached: their prefill is done. */
	read(links: readonly PrefixLink[]): void {
		for (const {hash, tokens} of links) {
			this.#set(hash, {tokens, pendingSince: undefined});
		}

		this.#evict();
	}

	#set(hash: number, entry: Entry): void {
		const known = this.#entries.get(hash);
		if (known) {
			this.#tokens -= known.tokens;
			this.#entries.delete(hash);
		}

		this.#entries.set(hash, entry);
		this.#tokens += entry.tokens;
	}

	#evict(): void {
		for (const [hash, {tokens}] of this.#entries) {
			if (
				this.#tokens <= this.#capacityTokens &&
				this.#entries.size <= maxLinks
			) {
				break;
			}

			this.#entries.delete(hash);
			this.#tokens -= tokens;
		}
	}
}
