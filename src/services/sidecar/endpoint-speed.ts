/** Weight of a new sample in the moving averages. */
const newSampleWeight = 0.05;
/** Factor by which the weight of older samples decays with each first token. */
const retainedWeight = 0.98;

/** Values assumed before the first measurement. */
const initialGapMs = 25;
const initialPrefillMsPerToken = 0.1;
const initialOccupancyMs = 4000;

/** Observed speed of the endpoint: the gap between tokens, and a linear regression of the time to the first token on the uncached prompt tokens. */
export class EndpointSpeed {
	#gapMs = initialGapMs;
	#occupancyMs = initialOccupancyMs;
	#deviationMs = 0;
	#weight = 0;
	#sumX = 0;
	#sumY = 0;
	#sumXx = 0;
	#sumXy = 0;

	get gapMs(): number {
		return this.#gapMs;
	}

	/** Mean time for which a finished request occupied its slot, in milliseconds. */
	get occupancyMs(): number {
		return this.#occupancyMs;
	}

	observeGap(ms: number): void {
		this.#gapMs += (ms - this.#gapMs) * newSampleWeight;
	}

	observeOccupancy(ms: number): void {
		this.#occupancyMs += (ms - this.#occupancyMs) * newSampleWeight;
	}

	observeFirstToken(ms: number, uncachedTokens: number): void {
		const error = Math.abs(ms - this.prefillMs(uncachedTokens));
		this.#deviationMs += (error - this.#deviationMs) * newSampleWeight;
		this.#weight = this.#weight * retainedWeight + 1;
		this.#sumX = this.#sumX * retainedWeight + uncachedTokens;
		this.#sumY = this.#sumY * retainedWeight + ms;
		this.#sumXx = this.#sumXx * retainedWeight + uncachedTokens ** 2;
		this.#sumXy = this.#sumXy * retainedWeight + uncachedTokens * ms;
	}

	/** Upper estimate of the time from the start to the first token, in milliseconds: mean plus four deviations, as in RFC 6298. */
	conservativePrefillMs(uncachedTokens: number): number {
		return this.prefillMs(uncachedTokens) + 4 * this.#deviationMs;
	}

	/** Time that each uncached prompt token adds to the first token, in milliseconds. */
	get promptTokenMs(): number {
		if (this.#weight < 5) {
			return initialPrefillMsPerToken;
		}

		const meanX = this.#sumX / this.#weight;
		const meanY = this.#sumY / this.#weight;
		const varianceX = this.#sumXx / this.#weight - meanX ** 2;
		const covariance = this.#sumXy / this.#weight - meanX * meanY;
		return varianceX > 1 ? Math.max(0, covariance / varianceX) : 0;
	}

	/** Expected time from the start to the first token, in milliseconds. */
	prefillMs(uncachedTokens: number): number {
		const slope = this.promptTokenMs;
		if (this.#weight < 5) {
			return this.#gapMs + uncachedTokens * slope;
		}

		const meanX = this.#sumX / this.#weight;
		const meanY = this.#sumY / this.#weight;
		return Math.max(0, meanY + slope * (uncachedTokens - meanX));
	}

	dump(): unknown {
		return {
			gapMs: this.#gapMs,
			occupancyMs: this.#occupancyMs,
			prefillMs: this.prefillMs(0),
			deviationMs: this.#deviationMs,
		};
	}
}
