/** Time in milliseconds in which the weight of a kind of request falls to about a third while none arrive: long enough to bridge pauses at a gateway with little traffic, short enough to follow a change of the configuration. */
const decayMs = 10_000;

/** Minimum fraction of a service's requests for a kind to count: single requests on rarely used routes must not slow down all others. */
const minFraction = 0.03;

/** Target time per token, as a fraction of the mean time that answers have for each token: long answers have several times the mean length. */
const paceFraction = 0.35;

/** Maximum age of the cached summary, in milliseconds. */
const maxSummaryAgeMs = 100;

/** Requirements of one request. */
export type DemandSample = {
	/** Tier of the workspace, or of the route if the workspace has none; 0 is the highest. */
	readonly tier: number;
	/** Rank in which it gets capacity, 0 first. */
	readonly rank: number;
	/** Latency target, in milliseconds. */
	readonly objectiveMs: number;
	/** Maximum time until the end of the answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Expected length of the answer; 0 if unknown. */
	readonly outputTokens: number;
};

/** Requests with the same tier, rank, latency target and timeout. */
type RequestKind = {
	readonly tier: number;
	readonly rank: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	/** Number of requests, decayed exponentially since `updatedAt`. */
	weight: number;
	/** Weighted mean of the expected lengths of the answers. */
	outputTokens: number;
	updatedAt: number;
};

/** Values derived from the kinds of requests that are frequent enough to count. */
type Summary = {
	readonly at: number;
	readonly kinds: readonly RequestKind[];
	readonly tokenMs: number | undefined;
	readonly lowestRank: number;
};

/**
 * Learns the requirements of the requests to one service from those that this
 * gateway receives. Needed when requests differ in their latency targets: the
 * tightest target in use limits the prefill backlog of each engine.
 */
export class ServiceDemand {
	readonly #kinds = new Map<string, RequestKind>();
	#summary: Summary | undefined;
	#assumed = {objectiveMs: Number.POSITIVE_INFINITY, until: 0};

	/** Assumes until a time that requests with a latency target arrive as well. A gateway that has just started has seen few kinds of requests, and would let engines get a backlog that makes others late. */
	assumeObjective(objectiveMs: number, until: number): void {
		this.#assumed = {objectiveMs, until};
	}

	/** Adds a request to its kind. */
	recordRequest(sample: DemandSample, now: number): void {
		const {tier, rank, objectiveMs, timeoutMs} = sample;
		const name = `${tier}/${rank}/${objectiveMs}/${timeoutMs}`;
		let kind = this.#kinds.get(name);
		if (!kind) {
			kind = {
				tier,
				rank,
				objectiveMs,
				timeoutMs,
				weight: 0,
				outputTokens: 0,
				updatedAt: now,
			};
			this.#kinds.set(name, kind);
			this.#summary = undefined;
		}

		const weight = decayedWeight(kind, now);
		kind.outputTokens =
			(kind.outputTokens * weight + sample.outputTokens) / (weight + 1);

		kind.weight = weight + 1;
		kind.updatedAt = now;
	}

	/** Tightest latency target among the requests of a tier and of all more urgent ones, in milliseconds; undefined if there are none. */
	tightestObjectiveMs(tier: number, now: number): number | undefined {
		let tightest =
			now < this.#assumed.until ? this.#assumed.objectiveMs : undefined;
		for (const kind of this.#summarize(now).kinds) {
			if (kind.tier <= tier) {
				tightest = Math.min(tightest ?? kind.objectiveMs, kind.objectiveMs);
			}
		}

		return tightest;
	}

	/** Time per token at which most answers end before their timeout, in milliseconds; undefined if no lengths are known. */
	tokenMs(now: number): number | undefined {
		return this.#summarize(now).tokenMs;
	}

	/** Rank of the least urgent requests, which is the highest number; 0 if there are no requests. */
	lowestRank(now: number): number {
		return this.#summarize(now).lowestRank;
	}

	/** Caches the summary, because it is needed for each endpoint of each queued request. */
	#summarize(now: number): Summary {
		if (!this.#summary || now - this.#summary.at > maxSummaryAgeMs) {
			const all = [...this.#kinds.values()];
			const total = all.reduce(
				(sum, kind) => sum + decayedWeight(kind, now),
				0,
			);
			const kinds = all.filter(
				(kind) => decayedWeight(kind, now) >= total * minFraction,
			);
			this.#summary = {
				at: now,
				kinds,
				tokenMs: minTokenMs(kinds),
				lowestRank: Math.max(0, ...kinds.map(({rank}) => rank)),
			};
		}

		return this.#summary;
	}
}

function minTokenMs(kinds: readonly RequestKind[]): number | undefined {
	const times = kinds
		.filter(({outputTokens}) => outputTokens > 0)
		.map(
			({timeoutMs, objectiveMs, outputTokens}) =>
				(paceFraction * (timeoutMs - objectiveMs)) / outputTokens,
		);
	return times.length > 0 ? Math.min(...times) : undefined;
}

function decayedWeight({weight, updatedAt}: RequestKind, now: number): number {
	return weight * Math.exp((updatedAt - now) / decayMs);
}
