import {hash32, Random} from '../../base/index.js';

/**
 * Independent seeded generators by name, so that removing one step from a plan
 * leaves the random choices of the other parts unchanged and shrinking works.
 */
export class Streams {
	readonly #seed: number;
	readonly #streams = new Map<string, Random>();

	constructor(seed: number) {
		this.#seed = seed;
	}

	get(name: string): Random {
		const known = this.#streams.get(name);
		if (known) {
			return known;
		}

		const created = new Random(hash32(`${this.#seed}/${name}`));
		this.#streams.set(name, created);
		return created;
	}
}
