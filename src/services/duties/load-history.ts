/** Minimum time between two samples, in milliseconds; bounds their number. */
const minSpacingMs = 250;

type Sample = {readonly at: number; readonly value: number};

/** Load of the recent past, with its mean and its lasting growth. */
export class LoadHistory {
	#samples: Sample[] = [];
	#startedAt: number | undefined;

	/** Adds a sample and drops those that are older than the window, in milliseconds. */
	add(value: number, windowMs: number, now: number): void {
		this.#startedAt ??= now;
		const last = this.#samples.at(-1);
		if (last && now - last.at < minSpacingMs) {
			return;
		}

		this.#samples = this.#samples.filter(({at}) => now - at < windowMs);
		this.#samples.push({at: now, value});
	}

	clear(): void {
		this.#samples = [];
		this.#startedAt = undefined;
	}

	/** Mean of the samples of a period that ends now; 0 if there are none. */
	mean(periodMs: number, now: number): number {
		return this.#meanBetween(now - periodMs, now) ?? 0;
	}

	/**
	 * Growth that lasts through a whole window, per millisecond; 0 if there is
	 * none. It is the slope of the fitted line less twice its standard error, so
	 * that chance is not taken for growth. All thirds of the window must grow, so
	 * that neither is the step at the start of a burst.
	 */
	growthPerMs(windowMs: number, now: number): number {
		if (this.#startedAt === undefined || now - this.#startedAt < windowMs) {
			return 0;
		}

		const thirdMs = windowMs / 3;
		const first = this.#meanBetween(now - windowMs, now - 2 * thirdMs);
		const second = this.#meanBetween(now - 2 * thirdMs, now - thirdMs);
		const third = this.#meanBetween(now - thirdMs, now);
		const isGrowing =
			first !== undefined &&
			second !== undefined &&
			third !== undefined &&
			first < second &&
			second < third;
		return isGrowing ? Math.max(0, this.#leastSlope(now - windowMs)) : 0;
	}

	/** Slope of the samples since a time, per millisecond, less twice its standard error. */
	#leastSlope(since: number): number {
		const samples = this.#samples.filter(({at}) => at > since);
		const count = samples.length;
		const meanAt = samples.reduce((sum, {at}) => sum + at, 0) / count;
		const mean = samples.reduce((sum, {value}) => sum + value, 0) / count;
		let squares = 0;
		let products = 0;
		for (const {at, value} of samples) {
			squares += (at - meanAt) ** 2;
			products += (at - meanAt) * (value - mean);
		}

		// The number of independent requests in progress has its mean as variance.
		return products / squares - 2 * Math.sqrt(mean / squares);
	}

	#meanBetween(from: number, until: number): number | undefined {
		const found = this.#samples.filter(({at}) => at > from && at <= until);
		const sum = found.reduce((total, {value}) => total + value, 0);
		return found.length === 0 ? undefined : sum / found.length;
	}
}
