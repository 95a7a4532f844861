import type {ReportedLoad} from '../../interfaces/index.js';
import {LastingSpeed} from './lasting-speed.js';
import {MachineSlowdown} from './machine-slowdown.js';
import {StepTime} from './step-time.js';

/** Weight of one sample in the moving average of the slowness. */
const sampleWeight = 0.2;

/** Bounds of the ratio of observed to expected time. */
const minSlowness = 0.5;
const maxSlowness = 10;

/** Time in which the deviation of the slowness from 1 decays to a third while there are no samples, in milliseconds. */
const slownessDecayMs = 5000;

/** Bounds of the lasting speed as it counts for prefill: servers of one service take 0.7 to 1.7 of the usual time. Queues lengthen the times to the first byte of all engines alike, and must not make them pass for slow. */
const minLastingFactor = 0.7;
const maxLastingFactor = 1.7;

/** What the expected time of a request includes of the pace of its endpoint. */
export type Expectation = {
	readonly slowness: number;
	readonly slowdown: number;
};

/** Expectation for an endpoint of which nothing is known. */
const usualExpectation: Expectation = {slowness: 1, slowdown: 1};

/** How fast an endpoint works: by its stated slowdown and its lasting speed where it states the former, else by a moving average of observed by expected times. */
export class EndpointPace {
	/** Time of one decoding step while its machine is in its usual state. */
	readonly step = new StepTime();
	/** Momentary slowdown of its machine, as far as it states it. */
	readonly slowdown = new MachineSlowdown();
	/** Lasting speed of an endpoint that states its slowdown. */
	readonly lastingSpeed = new LastingSpeed();
	#slowness = 1;
	#slownessUpdatedAt = 0;

	/** Records the slowdown that the endpoint states in any answer. */
	recordSlowdown(
		{slowdown}: Pick<ReportedLoad, 'slowdown'>,
		now: number,
	): void {
		if (slowdown !== undefined) {
			this.slowdown.record(slowdown, now);
		}
	}

	/** Expectation by which a request is sent at `now`. */
	expectation(now: number): Expectation {
		return {slowness: this.slowness(now), slowdown: this.slowdown.at(now)};
	}

	/** Adds a sample of the time to the first byte, observed and expected in milliseconds; `expectation` is what the expected time includes. */
	addFirstByteSample(
		observedMs: number,
		expectedMs: number,
		now: number,
		expectation = usualExpectation,
	): void {
		if (this.slowdown.isReported) {
			const meanSlowdown = (expectation.slowdown + this.slowdown.at(now)) / 2;
			this.lastingSpeed.add(
				observedMs,
				expectedMs / expectation.slowness,
				meanSlowdown,
			);
		}

		const sample = Math.min(
			maxSlowness,
			Math.max(minSlowness, observedMs / Math.max(1, expectedMs)),
		);
		const slowness = this.#meanSlowness(now);
		this.#slowness = slowness + sampleWeight * (sample - slowness);
		this.#slownessUpdatedAt = now;
	}

	/** Ratio of observed to expected times at `now`. */
	slowness(now: number): number {
		return this.slowdown.isReported
			? this.lastingSpeed.factor * this.slowdown.at(now)
			: this.#meanSlowness(now);
	}

	/** Factor by which prompts take longer to prefill there; below 1 only for an engine whose speed is known. */
	prefillFactor(now: number): number {
		return this.slowdown.isReported
			? this.backlogFactor(now)
			: Math.max(1, this.slowness(now));
	}

	/** Factor by which prompts that an engine has not reported as prefilled take longer. */
	backlogFactor(now: number): number {
		if (!this.slowdown.isReported) {
			return this.slowness(now);
		}

		const factor = Math.min(
			maxLastingFactor,
			Math.max(minLastingFactor, this.lastingSpeed.factor),
		);
		return factor * this.slowdown.at(now);
	}

	/** Time of one decoding step at present, in milliseconds. */
	stepMs(now: number): number {
		return this.step.ms * this.slowdown.at(now);
	}

	/** Adds the pause between two events of an answer for each of its tokens, in milliseconds. */
	addTokenSample(tokenMs: number, now: number): void {
		this.step.addSample(tokenMs / this.slowdown.at(now));
	}

	/** Moving average of the ratio of observed to expected times to the first byte. */
	#meanSlowness(now: number): number {
		const decay = Math.exp((this.#slownessUpdatedAt - now) / slownessDecayMs);
		return 1 + (this.#slowness - 1) * decay;
	}
}
