import {hash32, mix32} from '../../base/index.js';

/** Minimum number of gateways that read the store directly, so that the others can still revalidate their copies when some of these fail at once. */
const minReaders = 4;

/** Number of gateways for each one that reads the store directly. */
const gatewaysPerReader = 8;

const readerSeed = hash32('store reader');

/**
 * Selects by rendezvous hashing which gateways read the platform's store directly,
 * and with which of these another gateway revalidates its copies, among the gateways
 * that sent a report recently. Every gateway computes this alone, without an election:
 * one that gets a request although it is no reader returns its copy's state and age.
 * Needed because the load on the store would otherwise grow with the number of
 * gateways.
 */
export class StoreReaders {
	readonly #ownHash: number;

	constructor(gateway: string) {
		this.#ownHash = hash32(gateway);
	}

	/** Gateway with which this one revalidates its copies, chosen from the others by the hashes of their names; undefined when this one reads the store directly. */
	readerFor(others: ReadonlyMap<string, number>): string | undefined {
		const count = Math.max(
			minReaders,
			Math.ceil((others.size + 1) / gatewaysPerReader),
		);
		const ranked = [...others].toSorted(
			([, a], [, b]) => mix32(b, readerSeed) - mix32(a, readerSeed),
		);
		const ownRank = mix32(this.#ownHash, readerSeed);
		const higherRanked = ranked.filter(
			([, hash]) => mix32(hash, readerSeed) > ownRank,
		);
		if (higherRanked.length < count) {
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
