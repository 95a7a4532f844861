import {hash32, mix32} from '../../base/index.js';

/** Least number of gateways that read the store themselves: the others still have one to ask when some of them fail at once. */
const minReaders = 4;

/** Gateways for each one that reads the store itself. */
const gatewaysPerReader = 8;

const readerSeed = hash32('store reader');

/**
 * Which gateways read the platform's store themselves, and which one another
 * gateway asks instead, among the gateways heard of lately. Every gateway works
 * it out alone, nothing is elected: one that is asked although it reads nothing
 * itself answers with what it knows and how old that is. Answers load on the
 * store that grows with the number of gateways.
 */
export class StoreReaders {
	readonly #ownHash: number;

	constructor(gateway: string) {
		this.#ownHash = hash32(gateway);
	}

	/** Gateway to ask, of the others and their hashes; undefined when this one reads the store itself. */
	toAsk(others: ReadonlyMap<string, number>): string | undefined {
		const count = Math.max(
			minReaders,
			Math.ceil((others.size + 1) / gatewaysPerReader),
		);
		const ranked = [...others].toSorted(
			([, a], [, b]) => mix32(b, readerSeed) - mix32(a, readerSeed),
		);
		const ownRank = mix32(this.#ownHash, readerSeed);
		const ahead = ranked.filter(
			([, hash]) => mix32(hash, readerSeed) > ownRank,
		);
		if (ahead.length < count) {
			return undefined;
		}

		let chosen: string | undefined;
		let bestRank = -1;
		for (const [name, hash] of ranked.slice(0, count)) {
			const rank = mix32(hash, this.#ownHash);
			if (rank > bestRank) {
				chosen = name;
				bestRank = rank;
			}
		}

		return chosen;
	}
}
