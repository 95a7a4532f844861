/** Mechanisms of the scheduler; experiments switch them off one at a time to measure the benefit of each. */
export type SchedulerPolicy = {
	/** Higher tiers go first. */
	readonly tiers: boolean;
	/** Classes below their guaranteed share go before all others. */
	readonly shares: boolean;
	/** Lower tiers leave slots free for classes whose target is too short to wait for one. */
	readonly headroom: boolean;
	/** Starts of long prompts are spread over time. */
	readonly pacing: boolean;
	/** Fair queueing over workspaces; otherwise a class is one queue. */
	readonly fairness: boolean;
	/** Least slack first; otherwise order of arrival. */
	readonly slack: boolean;
	/** Refusal on arrival when the target cannot be met. */
	readonly admission: boolean;
	/** Queued work is shed when its target can no longer be met. */
	readonly giveUp: boolean;
	/** Queued work is shed as soon as arrivals ahead of it make its target unreachable. */
	readonly displacement: boolean;
	/** Output lengths are learned; otherwise a constant is assumed. */
	readonly lengths: boolean;
	/** The concurrency limit follows the observed gaps; otherwise it is fixed. */
	readonly adaptiveLimit: boolean;
	/** Starts with a low concurrency limit. */
	readonly slowStart: boolean;
	/** Work starts only when its KV cache is expected to fit. */
	readonly memoryBound: boolean;
	/** Cached prompt prefixes shorten the expected prefill. */
	readonly prefixCache: boolean;
	/** Offered work counts as backlog for a short time. */
	readonly reservations: boolean;
	/** Concurrency limit when it is not adaptive. */
	readonly fixedLimit: number;
};

export const defaultPolicy: SchedulerPolicy = {
	tiers: true,
	shares: true,
	headroom: true,
	pacing: true,
	fairness: true,
	slack: true,
	admission: true,
	giveUp: true,
	displacement: true,
	lengths: true,
	adaptiveLimit: true,
	slowStart: true,
	memoryBound: true,
	prefixCache: true,
	reservations: true,
	fixedLimit: 32,
};
