/** Mean, minimum and maximum of a figure over several seeds. */
export type Statistics = {
	readonly mean: number;
	readonly least: number;
	readonly most: number;
};

/** Computes the statistics of one or more values. */
export function statisticsOf(values: readonly number[]): Statistics {
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
