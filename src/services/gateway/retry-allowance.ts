/** Bounds on retries, which are sends beyond the first of each request, summed over all gateways. */
export type RetryBounds = {
	/** Retries for each request to the service. */
	readonly ratio: number;
	/** Retries allowed in each window beside the ratio. */
	readonly slack: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

/** Fraction of the bound that is used, because the windows of the gateways are not aligned. */
const usedFraction = 0.8;

/** Number of buckets that a window is divided into. */
const bucketsPerWindow = 20;

type Bucket = {readonly index: number; requests: number; retries: number};

/**
 * This gateway's share of the retry budget of each service: a ratio of the
 * requests that it received, and an equal share of the slack. Needed when many
 * requests fail at once, to limit the load that retries add.
 */
export class RetryAllowance {
	/** May be replaced at any time, as when the settings are reloaded. */
	bounds: RetryBounds;
	readonly #services = new Map<string, Bucket[]>();

	constructor(bounds: RetryBounds) {
		this.bounds = bounds;
	}

	/** Counts a request once, also when it is never sent. */
	request(service: string, now: number): void {
		this.#bucket(service, now).requests++;
	}

	/** Whether the window has a retry left, for a request that may not need it. */
	has(service: string, now: number, gateways: number): boolean {
		this.#bucket(service, now);
		return this.#remaining(service, gateways) >= 1;
	}

	/** Takes one retry from the budget; returns false when the window has none left. */
	take(service: string, now: number, gateways: number): boolean {
		if (!this.has(service, now, gateways)) {
			return false;
		}

		this.#bucket(service, now).retries++;
		return true;
	}

	#remaining(service: string, gateways: number): number {
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#services.get(service) ?? []) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		const {ratio, slack} = this.bounds;
		const allowed = ratio * requests + slack / Math.max(1, gateways);
		return usedFraction * allowed - retries;
	}

	/** Returns the current bucket; removes those that have left the window. */
	#bucket(service: string, now: number): Bucket {
		const index = Math.floor(now / (this.bounds.windowMs / bucketsPerWindow));
		const buckets = (this.#services.get(service) ?? []).filter(
			(bucket) => bucket.index > index - bucketsPerWindow,
		);
		this.#services.set(service, buckets);
		let bucket = buckets.at(-1);
		if (bucket?.index !== index) {
			bucket = {index, requests: 0, retries: 0};
			buckets.push(bucket);
		}

		return bucket;
	}
}
