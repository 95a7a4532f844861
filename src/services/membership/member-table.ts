import {hash32} from '../../base/index.js';
import type {MemberFact, MemberState} from '../../interfaces/index.js';

/** Number of buckets into which members are hashed; with 5,800 members each bucket holds about 23, or 2 KB. */
export const bucketCount = 256;

const stateOrder: Readonly<Record<MemberState, number>> = {
	alive: 0,
	leaving: 1,
	gone: 2,
};

/** Whether a fact supersedes another one about the same member: by incarnation, then by state. */
export function isNewer(fact: MemberFact, known: MemberFact): boolean {
	return (
		fact.incarnation > known.incarnation ||
		(fact.incarnation === known.incarnation &&
			stateOrder[fact.state] > stateOrder[known.state])
	);
}

export function bucketOf(id: string): number {
	return hash32(id) % bucketCount;
}

/** Facts about all members, with bucket hashes by which two processes find where they differ. */
export class MemberTable {
	readonly #facts = new Map<string, MemberFact>();
	/** For each bucket, the exclusive or of the hashes of its members that are not gone. */
	readonly #bucketHashes: number[] = Array.from({length: bucketCount}, () => 0);
	/** Cached hash over all buckets; undefined after a change. */
	#hash: number | undefined;

	get bucketHashes(): readonly number[] {
		return this.#bucketHashes;
	}

	get hash(): number {
		this.#hash ??= hash32(this.#bucketHashes.join(','));
		return this.#hash;
	}

	get size(): number {
		return this.#facts.size;
	}

	get(id: string): MemberFact | undefined {
		return this.#facts.get(id);
	}

	values(): IterableIterator<MemberFact> {
		return this.#facts.values();
	}

	/** Facts of one bucket, including those about gone members. */
	bucket(index: number): MemberFact[] {
		return [...this.#facts.values()].filter(
			(fact) => bucketOf(fact.id) === index,
		);
	}

	/** Stores a fact if it is newer than the known one, and returns whether it was. */
	merge(fact: MemberFact): boolean {
		const known = this.#facts.get(fact.id);
		if (known && !isNewer(fact, known)) {
			return false;
		}

		if (known) {
			this.#toggleHash(known);
		}

		this.#facts.set(fact.id, fact);
		this.#toggleHash(fact);
		return true;
	}

	/** Removes the fact about a member that is gone. Its hash is no longer included. */
	remove(id: string): void {
		this.#facts.delete(id);
	}

	/** Adds a fact to the hash of its bucket, or removes it if it is included. */
	#toggleHash({id, incarnation, state}: MemberFact): void {
		if (state !== 'gone') {
			const bucket = bucketOf(id);
			this.#hash = undefined;
			// eslint-disable-next-line no-bitwise
			this.#bucketHashes[bucket]! ^= hash32(`${id} ${incarnation} ${state}`);
		}
	}
}
