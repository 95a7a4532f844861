import {hash32} from '../../base/index.js';
import type {MemberFact, MemberState} from '../../interfaces/index.js';

/** Buckets into which members are hashed; at 5,800 members one holds about 23, or 2 KB. */
export const bucketCount = 256;

const order: Readonly<Record<MemberState, number>> = {
	alive: 0,
	leaving: 1,
	gone: 2,
};

/** Whether a fact replaces another one of the same member. */
export function isNewer(fact: MemberFact, known: MemberFact): boolean {
	return (
		fact.incarnation > known.incarnation ||
		(fact.incarnation === known.incarnation &&
			order[fact.state] > order[known.state])
	);
}

export function bucketOf(id: string): number {
	return hash32(id) % bucketCount;
}

/** Facts of all members, with hashes by which two processes find where they differ. */
export class MemberTable {
	readonly #facts = new Map<string, MemberFact>();
	/** Facts of members that are not gone, combined by exclusive or. */
	readonly #hashes: number[] = Array.from({length: bucketCount}, () => 0);
	/** Hash over all buckets; undefined after a change. */
	#hash: number | undefined;

	get hashes(): readonly number[] {
		return this.#hashes;
	}

	get hash(): number {
		this.#hash ??= hash32(this.#hashes.join(','));
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

	/** Facts of one bucket, those of gone members too. */
	bucket(index: number): MemberFact[] {
		return [...this.#facts.values()].filter(
			(fact) => bucketOf(fact.id) === index,
		);
	}

	/** Takes a fact if it is newer than what is known; says whether it was. */
	learn(fact: MemberFact): boolean {
		const known = this.#facts.get(fact.id);
		if (known && !isNewer(fact, known)) {
			return false;
		}

		if (known) {
			this.#toggle(known);
		}

		this.#facts.set(fact.id, fact);
		this.#toggle(fact);
		return true;
	}

	/** Drops the fact of a member that is gone. */
	forget(id: string): void {
		this.#facts.delete(id);
	}

	#toggle({id, incarnation, state}: MemberFact): void {
		if (state !== 'gone') {
			const bucket = bucketOf(id);
			this.#hash = undefined;
			// eslint-disable-next-line no-bitwise
			this.#hashes[bucket]! ^= hash32(`${id} ${incarnation} ${state}`);
		}
	}
}
