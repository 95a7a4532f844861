/** Time in which a kind of request that is no longer asked for counts for a third, in milliseconds: long enough to bridge the pauses of a small gateway, short enough to follow a change of the configuration. */
const fadeMs = 10_000;

/** Least part of a service's requests for a kind to count: single requests on rare routes must not slow down all others. */
const minPart = 0.03;

/** Part of the mean time that answers have for each token at which engines are to generate them: long answers have several times the mean length. */
const paceMargin = 0.35;

/** Multiple of the tightest latency target of its tier above which a request counts as loose: it can wait while others are served. */
const looseFactor = 3;

/** How far a loose request ranks behind others of its tier; less than a tier, so that none of a lower tier goes before it. */
const looseRank = 0.5;

/** Time for which what follows from the kinds of requests is kept, in milliseconds. */
const summaryMs = 100;

/** What one request asks of a service. */
export type DemandSample = {
	/** 0 is the highest. */
	readonly tier: number;
	/** Latency target, in milliseconds. */
	readonly objectiveMs: number;
	/** Longest time until the end of the answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Tokens that the answer is expected to have; 0 when nothing is known. */
	readonly outputTokens: number;
};

type Kind = {
	readonly tier: number;
	readonly objectiveMs: number;
	readonly timeoutMs: number;
	weight: number;
	outputTokens: number;
	notedAt: number;
};

/** What follows from the kinds of requests that are common at a moment. */
type Summary = {
	readonly at: number;
	readonly kinds: readonly Kind[];
	readonly tokenMs: number | undefined;
	readonly lowestRank: number;
};

/**
 * What the requests to one service need of it, learned from those that this
 * gateway receives. Answers load of requests that differ in their targets: how
 * much an engine may have to read follows from the tightest target in use.
 */
export class ServiceDemand {
	readonly #kinds = new Map<string, Kind>();
	#summary: Summary | undefined;

	note(sample: DemandSample, now: number): void {
		const {tier, objectiveMs, timeoutMs} = sample;
		const name = `${tier}/${objectiveMs}/${timeoutMs}`;
		let kind = this.#kinds.get(name);
		if (!kind) {
			kind = {
				tier,
				objectiveMs,
				timeoutMs,
				weight: 0,
				outputTokens: 0,
				notedAt: now,
			};
			this.#kinds.set(name, kind);
			this.#summary = undefined;
		}

		const weight = faded(kind, now);
		kind.outputTokens =
			(kind.outputTokens * weight + sample.outputTokens) / (weight + 1);

		kind.weight = weight + 1;
		kind.notedAt = now;
	}

	/** Tightest latency target among requests that are at least as urgent as a tier, in milliseconds; undefined when there are none. */
	tightestObjectiveMs(tier: number, now: number): number | undefined {
		let tightest: number | undefined;
		for (const kind of this.#summarize(now).kinds) {
			if (kind.tier <= tier) {
				tightest = Math.min(tightest ?? kind.objectiveMs, kind.objectiveMs);
			}
		}

		return tightest;
	}

	/** Time for each token at which most answers end in time, in milliseconds; undefined when no lengths are known. */
	tokenMs(now: number): number | undefined {
		return this.#summarize(now).tokenMs;
	}

	/** Rank in which a request gets room, 0 first: its tier, and behind the others of its tier when its target is loose. */
	rank(tier: number, objectiveMs: number, now: number): number {
		const {kinds} = this.#summarize(now);
		const isLoose = kinds.some(
			(kind) =>
				kind.tier === tier && kind.objectiveMs * looseFactor < objectiveMs,
		);
		return tier + (isLoose ? looseRank : 0);
	}

	/** Last rank in use; 0 when there are no requests. */
	lowestRank(now: number): number {
		return this.#summarize(now).lowestRank;
	}

	/** Asked for each endpoint of each request that waits, so it is worked out only from time to time. */
	#summarize(now: number): Summary {
		if (!this.#summary || now - this.#summary.at > summaryMs) {
			const all = [...this.#kinds.values()];
			const total = all.reduce((sum, kind) => sum + faded(kind, now), 0);
			const kinds = all.filter((kind) => faded(kind, now) >= total * minPart);
			this.#summary = {
				at: now,
				kinds,
				tokenMs: leastTokenMs(kinds),
				lowestRank: 0,
			};
			const lowestRank = Math.max(
				0,
				...kinds.map(({tier, objectiveMs}) =>
					this.rank(tier, objectiveMs, now),
				),
			);
			this.#summary = {...this.#summary, lowestRank};
		}

		return this.#summary;
	}
}

function leastTokenMs(kinds: readonly Kind[]): number | undefined {
	const times = kinds
		.filter(({outputTokens}) => outputTokens > 0)
		.map(
			({timeoutMs, objectiveMs, outputTokens}) =>
				(paceMargin * (timeoutMs - objectiveMs)) / outputTokens,
		);
	return times.length > 0 ? Math.min(...times) : undefined;
}

function faded({weight, notedAt}: Kind, now: number): number {
	return weight * Math.exp((notedAt - now) / fadeMs);
}
