/** Weight of one sample: about thirty requests show a lasting difference, and single queues do not. */
const sampleWeight = 0.05;

/** Weight of the first samples, as the reciprocal of their number, so that a new endpoint is known after a few requests. */
const maxFirstWeight = 0.5;

/** Bounds of one sample of observed to expected time. */
const minSample = 0.2;
const maxSample = 10;

/**
 * Learns how long work lasts on an endpoint compared with the estimate, apart
 * from the momentary slowdown of its machine. Needed because servers of one
 * service differ in speed for as long as they run.
 */
export class LastingSpeed {
	#factor = 1;
	#samples = 0;

	/** Ratio of the duration of work to its estimate; 2 is half the expected speed. */
	get factor(): number {
		return this.#factor;
	}

	/** Adds a request with its observed and expected time in milliseconds; the expected time includes neither the slowdown nor the lasting speed, and `slowdown` was in force while it ran. */
	add(observedMs: number, expectedMs: number, slowdown: number): void {
		const ratio = observedMs / Math.max(1, expectedMs) / slowdown;
		const sample = Math.min(maxSample, Math.max(minSample, ratio));
		this.#samples++;
		const weight = Math.max(
			sampleWeight,
			Math.min(maxFirstWeight, 1 / (this.#samples + 1)),
		);
		this.#factor += weight * (sample - this.#factor);
	}
}
