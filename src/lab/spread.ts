/** Mean and extremes of a figure over several seeds. */
export type Spread = {
	readonly mean: number;
	readonly least: number;
	readonly most: number;
};

/** Spread of at least one value. */
export function spreadOf(values: readonly number[]): Spread {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return {
		mean: sum / values.length,
		least: Math.min(...values),
		most: Math.max(...values),
	};
}
