import {hash32} from '../../base/index.js';
import type {PromptPart} from '../../interfaces/index.js';

/** Leading parts of a prompt up to one of them, as one number, and the tokens of that part. */
export type PrefixLink = {
	readonly hash: number;
	readonly tokens: number;
};

/** Links remembered for one engine at most; bounds memory where parts are tiny. */
const maxLinks = 2000;

/** Part of an engine's memory that holds cached prompt parts; running requests need the rest. */
const cachedPart = 0.6;

/** Time after which a part that was being read counts as unread, in milliseconds: its request has failed or waits behind many others. */
const pendingMs = 3000;

/** A link is `pending` since a moment while the engine reads it, and `ready` afterwards. */
type Entry = {readonly tokens: number; pendingSince: number | undefined};

/** The links of a prompt, in order: equal hashes mean equal leading parts. */
export function prefixLinks(parts: readonly PromptPart[]): PrefixLink[] {
	const links: PrefixLink[] = [];
	let chain = '';
	for (const {id, tokens} of parts) {
		chain = `${chain}/${id}`;
		links.push({hash: hash32(chain), tokens});
	}

	return links;
}

/** Which prompt parts one engine holds, as far as the requests of the gateways tell. Least recently used ones are dropped first, as the engine does. */
export class PrefixMemory {
	readonly #capacityTokens: number;
	/** In order of last use. */
	readonly #entries = new Map<number, Entry>();
	#tokens = 0;

	constructor(kvTokens: number) {
		this.#capacityTokens = kvTokens * cachedPart;
	}

	/** Leading tokens of a prompt that the engine holds; a part counts only when all before it do. */
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

	/** Leading tokens that the engine holds or is reading for another request. */
	expectedTokens(links: readonly PrefixLink[], now: number): number {
		let tokens = 0;
		for (const link of links) {
			const entry = this.#entries.get(link.hash);
			if (
				!entry ||
				(entry.pendingSince !== undefined &&
					now - entry.pendingSince > pendingMs)
			) {
				break;
			}

			tokens += link.tokens;
		}

		return tokens;
	}

	/** Notes that the engine begins to read a prompt. */
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

	/** Notes that the engine has read a prompt. */
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
