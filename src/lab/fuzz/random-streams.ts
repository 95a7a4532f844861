import {hash32, Random} from '../../base/index.js';

/**
 * Independent seeded random generators by name. Removing one step from a plan
 * leaves the random choices of the other parts unchanged; shrinking depends on it.
 */
export class RandomStreams {
	readonly #seed: number;
	readonly #generators = new Map<string, Random>();

	constructor(seed: number) {
		this.#seed = seed;
	}

	get(name: string): Random {
		const known = this.#generators.get(name);
		if (known) {
			return known;
		}

		const created = new Random(hash32(`${this.#seed}/${name}`));
		this.#generators.set(name, created);
		return created;
	}
}
