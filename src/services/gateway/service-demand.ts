/** Time in which a kind of request that is no longer asked for counts for a third, in milliseconds: long enough to bridge the pauses of a small gateway, short enough to follow a change of the configuration. */
const fadeMs = 10_000;

/** Least part of a service's requests for a kind to count: single requests on rare routes must not slow down all others. */
const minPart = 0.03;

/** Part of the mean time that answers have for each token at which engines are to generate them: long answers have several times the mean length. */
const paceMargin = 0.5;

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

/**
 * What the requests to one service need of it, learned from those that this
 * gateway receives. Answers load of requests that differ in their targets: how
 * much an engine may have to read follows from the tightest target in use.
 */
export class ServiceDemand {
	readonly #kinds = new Map<string, Kind>();

	note(sample: DemandSample, now: number): void {
		const {tier, objectiveMs, timeoutMs, outputTokens} = sample;
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
		}

		const weight = faded(kind, now);
		kind.outputTokens =
			(kind.outputTokens * weight + outputTokens) / (weight + 1);
		kind.weight = weight + 1;
		kind.notedAt = now;
	}

	/** Tightest latency target among requests that are at least as urgent as a tier, in milliseconds; undefined when there are none. */
	tightestObjectiveMs(tier: number, now: number): number | undefined {
		let tightest: number | undefined;
		for (const kind of this.#common(now)) {
			if (kind.tier <= tier) {
				tightest = Math.min(tightest ?? kind.objectiveMs, kind.objectiveMs);
			}
		}

		return tightest;
	}

	/** Time for each token at which most answers end in time, in milliseconds; undefined when no lengths are known. */
	tokenMs(now: number): number | undefined {
		let least: number | undefined;
		for (const {timeoutMs, objectiveMs, outputTokens} of this.#common(now)) {
			if (outputTokens > 0) {
				const tokenMs = (paceMargin * (timeoutMs - objectiveMs)) / outputTokens;
				least = Math.min(least ?? tokenMs, tokenMs);
			}
		}

		return least;
	}

	#common(now: number): Kind[] {
		let total = 0;
		for (const kind of this.#kinds.values()) {
			total += faded(kind, now);
		}

		return [...this.#kinds.values()].filter(
			(kind) => faded(kind, now) >= total * minPart,
		);
	}
}

function faded({weight, notedAt}: Kind, now: number): number {
	return weight * Math.exp((notedAt - now) / fadeMs);
}
