import process from 'node:process';

/** One measured value at one size. */
export type Point = {readonly size: number; readonly value: number};

/** Straight line through points, by least squares. */
export type Fit = {
	readonly intercept: number;
	readonly slope: number;
	/** Share of the variation that the line explains, 0 to 1. */
	readonly r2: number;
};

const repeats = 3;

/** Heap bytes that stay in use because of what `build` returns. Needs `node --expose-gc`. */
export function retainedBytes(build: () => unknown): number {
	const collect = globalThis.gc;
	if (!collect) {
		throw new Error('memory is measured under "node --expose-gc" only');
	}

	collect();
	collect();
	const before = process.memoryUsage().heapUsed;
	const kept = build();
	collect();
	collect();
	const after = process.memoryUsage().heapUsed;
	// Keeps the value alive until after the second reading.
	return kept === undefined ? 0 : after - before;
}

/** Least processor time of one call over several series, in microseconds. */
export function microsecondsPerCall(
	count: number,
	call: (index: number) => void,
): number {
	let least = Number.POSITIVE_INFINITY;
	for (let series = 0; series < repeats; series++) {
		const start = process.cpuUsage();
		for (let index = 0; index < count; index++) {
			call(series * count + index);
		}

		const used = process.cpuUsage(start);
		least = Math.min(least, (used.user + used.system) / count);
	}

	return least;
}

/** Fits a line to points of at least two sizes. */
export function fitLine(points: readonly Point[]): Fit {
	const n = points.length;
	const meanX = points.reduce((sum, point) => sum + point.size, 0) / n;
	const meanY = points.reduce((sum, point) => sum + point.value, 0) / n;
	let xy = 0;
	let xx = 0;
	let yy = 0;
	for (const {size, value} of points) {
		xy += (size - meanX) * (value - meanY);
		xx += (size - meanX) ** 2;
		yy += (value - meanY) ** 2;
	}

	const slope = xy / xx;
	return {
		slope,
		intercept: meanY - slope * meanX,
		r2: yy === 0 ? 1 : xy ** 2 / (xx * yy),
	};
}

/** Value of a fitted line at a size. */
export function valueAt(fit: Fit, size: number): number {
	return fit.intercept + fit.slope * size;
}
