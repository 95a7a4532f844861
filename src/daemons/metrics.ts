/** Counters and timings of a process, kept in memory for the state dump. */
export class Metrics {
	readonly #counters = new Map<string, number>();

	/** Adds to a counter; `tags` are dimension and value pairs. */
	count(
		name: string,
		value: number,
		tags: Readonly<Record<string, string>> = {},
	): void {
		const key = [
			name,
			...Object.entries(tags).map((tag) => tag.join('=')),
		].join(' ');
		this.#counters.set(key, (this.#counters.get(key) ?? 0) + value);
	}

	dump(): Record<string, number> {
		return Object.fromEntries(this.#counters);
	}
}
