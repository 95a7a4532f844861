const bucketMs = 500;
const buckets = 20;

/** Window over which guaranteed shares are measured, in milliseconds. */
export const shareWindowMs = bucketMs * buckets;

type Series = {readonly values: number[]; sum: number};

/** Cost served to each class in a sliding window of 10 s. */
export class ShareAccount {
	readonly #byClass = new Map<string, Series>();
	readonly #total: Series = {values: [], sum: 0};
	#bucket = 0;

	add(requestClass: string, cost: number, now: number): void {
		this.#rotate(now);
		let series = this.#byClass.get(requestClass);
		if (!series) {
			series = {values: [], sum: 0};
			this.#byClass.set(requestClass, series);
		}

		const slot = this.#bucket % buckets;
		for (const changed of [series, this.#total]) {
			changed.values[slot] = (changed.values[slot] ?? 0) + cost;
			changed.sum += cost;
		}
	}

	/** Fraction of the served cost that the class received, 0 to 1; 0 when nothing was served. */
	share(requestClass: string, now: number): number {
		this.#rotate(now);
		const served = this.#byClass.get(requestClass)?.sum ?? 0;
		return this.#total.sum > 0 ? served / this.#total.sum : 0;
	}

	dump(): unknown {
		return Object.fromEntries(
			[...this.#byClass].map(([name, {sum}]) => [name, Math.round(sum)]),
		);
	}

	#rotate(now: number): void {
		const bucket = Math.floor(now / bucketMs);
		if (bucket === this.#bucket) {
			return;
		}

		const passed = Math.min(buckets, bucket - this.#bucket);
		for (const [name, series] of this.#byClass) {
			this.#clear(series, bucket, passed);
			if (series.sum <= 0) {
				this.#byClass.delete(name);
			}
		}

		this.#clear(this.#total, bucket, passed);
		this.#bucket = bucket;
	}

	#clear(series: Series, bucket: number, passed: number): void {
		for (let age = 0; age < passed; age++) {
			series.values[(bucket - age) % buckets] = 0;
		}

		// Recomputed, because repeated subtraction would accumulate rounding errors.
		series.sum = series.values.reduce((sum, value) => sum + value, 0);
	}
}
