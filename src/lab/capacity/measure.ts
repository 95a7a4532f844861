import process from 'node:process';

/** A value measured at one size. */
export type Point = {readonly size: number; readonly value: number};

/** A straight line fitted to points by least squares. */
export type Fit = {
	readonly intercept: number;
	readonly slope: number;
	/** Coefficient of determination: fraction of the variance that the line explains, 0 to 1. */
	readonly r2: number;
};

const seriesCount = 3;

/** Heap bytes that the value returned by `build` retains. Needs `node --expose-gc`. */
export function retainedBytes(build: () => unknown): number {
	const collect = globalThis.gc;
	if (!collect) {
		throw new Error(
			'memory can be measured only when Node.js runs with --expose-gc',
		);
	}

	collect();
	collect();
	const before = process.memoryUsage().heapUsed;
	const retained = build();
	collect();
	collect();
	const after = process.memoryUsage().heapUsed;
	// Uses the value, so that it is not collected before the second measurement.
	return retained === undefined ? 0 : after - before;
}

/** Processor time of one call in microseconds: the minimum of the means of several series. */
export function microsecondsPerCall(
	count: number,
	call: (index: number) => void,
): number {
	let minimum = Number.POSITIVE_INFINITY;
	for (let series = 0; series < seriesCount; series++) {
		const start = process.cpuUsage();
		for (let index = 0; index < count; index++) {
			call(series * count + index);
		}

		const used = process.cpuUsage(start);
		minimum = Math.min(minimum, (used.user + used.system) / count);
	}

	return minimum;
}

/** Fits a line to points, which must have at least two different sizes. */
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
