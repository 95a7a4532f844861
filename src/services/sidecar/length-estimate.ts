import {build, type Histogram} from 'hdr-histogram-js';
import type {Profile} from '../../interfaces/index.js';

/** Predicted length of an answer: in tokens for a model, in milliseconds for a plain service. */
export type Length = {
	readonly p50: number;
	readonly p90: number;
	readonly mean: number;
};

/** Samples that a series needs to be used; with fewer, the next wider key is used. */
const minSamples = 20;
/** Samples of each half of the window; the older half is dropped when the newer one is full, so that the estimate follows a drift. */
const windowSamples = 512;
/** Number of samples between two updates of the quantiles. */
const refreshSamples = 8;
/** Distinct (class, workspace, model) keys kept; the least recently updated is dropped. */
const maxSeries = 512;
const maxLength = 1_048_576;

const unknownLength: Length = {p50: 256, p90: 512, mean: 256};

function histogram(): Histogram {
	return build({
		lowestDiscernibleValue: 1,
		highestTrackableValue: maxLength,
		numberOfSignificantValueDigits: 2,
		bitBucketSize: 16,
	});
}

/** Quantile sketch over the last 512 to 1,024 samples. */
class Series {
	samples = 0;
	#length: Length = unknownLength;
	#recent = histogram();
	#recentSamples = 0;
	#older: Histogram | undefined;

	get length(): Length {
		return this.#length;
	}

	record(value: number): void {
		if (this.#recentSamples >= windowSamples) {
			this.#older = this.#recent;
			this.#recent = histogram();
			this.#recentSamples = 0;
		}

		this.#recent.recordValue(
			Math.min(maxLength - 1, Math.max(1, Math.round(value))),
		);
		this.#recentSamples++;
		this.samples++;
		if (this.samples % refreshSamples === 0) {
			this.#refresh();
		}
	}

	#refresh(): void {
		const all = histogram();
		all.add(this.#recent);
		if (this.#older) {
			all.add(this.#older);
		}

		this.#length = {
			p50: all.getValueAtPercentile(50),
			p90: all.getValueAtPercentile(90),
			mean: all.mean,
		};
	}
}

/** Series keys from narrow to wide: (class, workspace, model), (class, model), class, all. */
function keysOf(profile: Profile): string[] {
	const {requestClass, workspace} = profile.contract;
	return [
		`${requestClass}\n${profile.target}\n${workspace}`,
		`${requestClass}\n${profile.target}`,
		requestClass,
		'',
	];
}

/** Online estimate of answer lengths from completed answers. */
export class LengthEstimate {
	readonly #series = new Map<string, Series>();

	record(profile: Profile, value: number): void {
		for (const key of keysOf(profile)) {
			const series = this.#series.get(key) ?? new Series();
			series.record(value);
			this.#series.delete(key);
			this.#series.set(key, series);
		}

		for (const key of this.#series.keys()) {
			if (this.#series.size <= maxSeries) {
				break;
			}

			this.#series.delete(key);
		}
	}

	/** Expected length of a whole answer; uses the narrowest key with enough samples. */
	predict(profile: Profile): Length {
		for (const key of keysOf(profile)) {
			const series = this.#series.get(key);
			if (series && series.samples >= minSamples) {
				return series.length;
			}
		}

		return unknownLength;
	}

	dump(): unknown {
		return {series: this.#series.size, all: this.#series.get('')?.length};
	}
}
