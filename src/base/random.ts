import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {hash32} from './rendezvous.js';

/** Seeded pseudo-random generator; passed to code that makes random decisions, so that a seed reproduces a run. */
export class Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		// Hashed, because the generator's first number is the complement of its seed: similar seeds would start with similar numbers.
		this.#generator = xoroshiro128plus(hash32(`seed ${seed}`));
	}

	/** Uniform number in [0, 1). */
	next(): number {
		// eslint-disable-next-line no-bitwise
		return (this.#generator.next() >>> 0) / 2 ** 32;
	}

	/** Uniform integer in [0, limit). */
	integer(limit: number): number {
		return Math.floor(this.next() * limit);
	}

	/** A uniformly chosen item, or undefined when there is none. */
	pick<T>(items: readonly T[]): T | undefined {
		return items[this.integer(items.length)];
	}

	/** Up to `count` distinct items in random order. */
	sample<T>(items: readonly T[], count: number): T[] {
		const pool = [...items];
		const chosen: T[] = [];
		while (chosen.length < count && pool.length > 0) {
			const [item] = pool.splice(this.integer(pool.length), 1);
			chosen.push(item!);
		}

		return chosen;
	}

	/** Exponentially distributed number with the given mean. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - this.next());
	}
}
