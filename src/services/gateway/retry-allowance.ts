/** Bounds on sends beyond the first of each request, summed over all gateways. */
export type RetryBounds = {
	/** Retries for each request to the service. */
	readonly ratio: number;
	/** Retries that are free in each window. */
	readonly slack: number;
	/** Length of the sliding window, in milliseconds. */
	readonly windowMs: number;
};

/** Part of the bound that is used: windows of other gateways begin at other moments. */
const usedPart = 0.8;

/** Buckets of a window. */
const bucketsPerWindow = 20;

type Bucket = {readonly index: number; requests: number; retries: number};

/**
 * This gateway's part of the retries that a service may get: a ratio of the
 * requests that came here, and an equal part of the slack. Answers load of
 * retries while many requests fail at once.
 */
export class RetryAllowance {
	/** May be replaced at any time. */
	bounds: RetryBounds;
	readonly #services = new Map<string, Bucket[]>();

	constructor(bounds: RetryBounds) {
		this.bounds = bounds;
	}

	/** Notes the first send of a request, or a request that was not sent. */
	request(service: string, now: number): void {
		this.#bucket(service, now).requests++;
	}

	/** Takes one retry, or returns false when the window has none left. */
	take(service: string, now: number, gateways: number): boolean {
		const bucket = this.#bucket(service, now);
		if (this.#left(service, gateways) < 1) {
			return false;
		}

		bucket.retries++;
		return true;
	}

	#left(service: string, gateways: number): number {
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#services.get(service) ?? []) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		const {ratio, slack} = this.bounds;
		const allowed = ratio * requests + slack / Math.max(1, gateways);
		return usedPart * allowed - retries;
	}

	/** The bucket of this moment; drops those that have left the window. */
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
