import type {Outcome} from '../interfaces/index.js';
import type {EngineTotals} from './fake-engine.js';
import type {Arrival, ClassDemand} from './workload.js';

/** Cost of a prompt token relative to an output token, as in the engine model. */
const promptTokenCost = 0.1;
/** Resolution of the time series, in milliseconds. */
const bucketMs = 1000;

/** Time at the start of a run that goodput excludes because the engines are still empty, in milliseconds. */
export function warmUpMs(lengthMs: number): number {
	return lengthMs / 6;
}

/** Window in which a class must get its guaranteed share, in buckets of a second. */
const shareWindowBuckets = 30;

type ContractOnly = Pick<ClassDemand, 'contract'>;

/** What the caller of one request received, with times in milliseconds. */
type Observation = {
	readonly arrival: Arrival;
	firstTokenAt: number | undefined;
	lastTokenAt: number;
	tokens: number;
	firstTokens: number;
	outcome: Outcome | undefined;
	endedAt: number;
	readonly chunks: Array<{readonly at: number; readonly tokens: number}>;
};

/** Engine time of a class, and whether it had requests waiting, by bucket. */
type ClassSeries = {readonly servedMs: number[]; readonly waiting: boolean[]};

/** Numbers of requests without a complete answer, with a late first token, or with too long a mean gap between tokens. */
export type Misses = {
	readonly unanswered: number;
	readonly late: number;
	readonly slow: number;
};

/** Results of one run. Fractions are 0 to 1. */
export type RunResult = {
	/** Fraction of the requests of each class that were answered completely and within both targets. */
	readonly attainment: Readonly<Record<string, number>>;
	/** Mean time until a request that was not run got its refusal, in milliseconds. */
	readonly refusedAfterMs: number;
	/** Requests of each class that missed a target, by cause. */
	readonly misses: Readonly<Record<string, Misses>>;
	/** Output tokens per second of answers that were delivered completely and in time. */
	readonly goodput: number;
	/** Fraction of the computed tokens that belong to no completely delivered answer. */
	readonly wasted: number;
	/** Minimum over the classes of the fraction of their max-min fair amounts that the workspaces got. */
	readonly fairness: number;
	/** Requests of each tier without a complete answer. */
	readonly shed: Readonly<Record<string, number>>;
	/** Minimum fraction of its guaranteed share that a class got in any 30 s of waiting; undefined when none waited that long. */
	readonly share: number | undefined;
};

/** Collects what callers receive and engines serve during one run. */
export class Measurement {
	readonly #observations = new Map<string, Observation>();
	readonly #series = new Map<string, ClassSeries>();

	onArrival(arrival: Arrival): void {
		this.#observations.set(arrival.id, {
			arrival,
			firstTokenAt: undefined,
			lastTokenAt: 0,
			tokens: 0,
			firstTokens: 0,
			outcome: undefined,
			endedAt: Infinity,
			chunks: [],
		});
	}

	onChunk(id: string, tokens: number, now: number): void {
		const observation = this.#observations.get(id)!;
		if (observation.firstTokenAt === undefined) {
			observation.firstTokenAt = now;
			observation.firstTokens = tokens;
		}

		observation.lastTokenAt = now;
		observation.chunks.push({at: now, tokens});
		observation.tokens += tokens;
	}

	onEnd(id: string, outcome: Outcome, now: number): void {
		const observation = this.#observations.get(id)!;
		observation.outcome = outcome;
		observation.endedAt = now;
		if (outcome === 'not_run') {
			// A class with refused requests counts as waiting, like one with a queue.
			const {requestClass} = observation.arrival.profile.contract;
			this.onQueued([requestClass], now);
		}
	}

	onServed(requestClass: string, ms: number, now: number): void {
		const {servedMs} = this.#seriesOf(requestClass);
		const bucket = Math.floor(now / bucketMs);
		servedMs[bucket] = (servedMs[bucket] ?? 0) + ms;
	}

	/** Marks the classes that have requests waiting. */
	onQueued(classes: readonly string[], now: number): void {
		for (const requestClass of classes) {
			this.#seriesOf(requestClass).waiting[Math.floor(now / bucketMs)] = true;
		}
	}

	/** Computes the results of a run with arrivals of `demands` over `lengthMs`. */
	result(
		demands: readonly ContractOnly[],
		lengthMs: number,
		totals: EngineTotals,
	): RunResult {
		const observations = [...this.#observations.values()];
		const attainment: Record<string, number> = {};
		const shed: Record<string, number> = {};
		const misses: Record<string, Misses> = {};
		const fairness: number[] = [];
		for (const {contract} of demands) {
			const classObservations = observations.filter(
				({arrival}) =>
					arrival.profile.contract.requestClass === contract.requestClass,
			);
			const inTime = classObservations.filter((observation) =>
				isInTime(observation),
			);
			attainment[contract.requestClass] =
				inTime.length / classObservations.length;
			shed[contract.tier] =
				(shed[contract.tier] ?? 0) +
				classObservations.filter((observation) => !isComplete(observation))
					.length;
			misses[contract.requestClass] = countMisses(classObservations);
			fairness.push(fairnessOf(classObservations));
		}

		return {
			attainment,
			shed,
			misses,
			refusedAfterMs: meanRefusalMs(observations),
			goodput: this.#goodput(lengthMs),
			wasted: wastedFraction(observations, totals),
			fairness: Math.min(...fairness),
			share: this.#minShare(demands, lengthMs),
		};
	}

	/** Output tokens per second, counting those delivered between the warm-up and the end of the arrivals. */
	#goodput(lengthMs: number): number {
		const from = warmUpMs(lengthMs);
		let tokens = 0;
		for (const observation of this.#observations.values()) {
			if (isInTime(observation)) {
				for (const chunk of observation.chunks) {
					tokens += chunk.at >= from && chunk.at < lengthMs ? chunk.tokens : 0;
				}
			}
		}

		return tokens / ((lengthMs - from) / 1000);
	}

	#seriesOf(requestClass: string): ClassSeries {
		let series = this.#series.get(requestClass);
		if (!series) {
			series = {servedMs: [], waiting: []};
			this.#series.set(requestClass, series);
		}

		return series;
	}

	#minShare(
		demands: readonly ContractOnly[],
		lengthMs: number,
	): number | undefined {
		const buckets = Math.floor(lengthMs / bucketMs);
		let minimum: number | undefined;
		for (const {contract} of demands) {
			const series = this.#seriesOf(contract.requestClass);
			for (let from = 0; from + shareWindowBuckets <= buckets; from++) {
				const to = from + shareWindowBuckets;
				const waiting = series.waiting.slice(from, to).filter(Boolean).length;
				if (contract.share > 0 && waiting === shareWindowBuckets) {
					let total = 0;
					for (const {servedMs} of this.#series.values()) {
						total += sum(servedMs.slice(from, to));
					}

					const fraction = sum(series.servedMs.slice(from, to)) / total;
					minimum = Math.min(minimum ?? Infinity, fraction / contract.share);
				}
			}
		}

		return minimum;
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value ?? 0;
	}

	return total;
}

function isComplete(observation: Observation): boolean {
	return (
		observation.outcome === 'completed' &&
		observation.tokens === observation.arrival.outputTokens
	);
}

function isLate(observation: Observation): boolean {
	const {arrival, firstTokenAt = Infinity} = observation;
	return firstTokenAt - arrival.at > arrival.profile.contract.firstTokenMs;
}

/** Whether the mean gap between tokens exceeds the target. */
function isSlow(observation: Observation): boolean {
	const {
		arrival,
		firstTokenAt = 0,
		lastTokenAt,
		tokens,
		firstTokens,
	} = observation;
	const gaps = Math.max(1, tokens - firstTokens);
	return (lastTokenAt - firstTokenAt) / gaps > arrival.profile.contract.gapMs;
}

function isInTime(observed: Observation): boolean {
	return isComplete(observed) && !isLate(observed) && !isSlow(observed);
}

function countMisses(observations: readonly Observation[]): Misses {
	const complete = observations.filter((observation) =>
		isComplete(observation),
	);
	return {
		unanswered: observations.length - complete.length,
		late: complete.filter((observation) => isLate(observation)).length,
		slow: complete.filter(
			(observation) => !isLate(observation) && isSlow(observation),
		).length,
	};
}

function meanRefusalMs(observations: readonly Observation[]): number {
	const times = observations
		.filter((observation) => observation.outcome === 'not_run')
		.map((observation) => observation.endedAt - observation.arrival.at);
	return sum(times) / Math.max(1, times.length);
}

function wastedFraction(
	observations: readonly Observation[],
	totals: EngineTotals,
): number {
	const delivered = sum(
		observations
			.filter((observation) => isComplete(observation))
			.map((observation) => observation.tokens),
	);
	const wastedTokens =
		totals.generated - delivered + totals.recomputed * promptTokenCost;
	return (
		wastedTokens /
		Math.max(1, totals.generated + totals.prefilled * promptTokenCost)
	);
}

/** Fraction of the max-min fair amounts, for the same total of tokens, that was delivered to the workspaces. */
function fairnessOf(observations: readonly Observation[]): number {
	const demandByWorkspace = new Map<string, number>();
	const deliveredByWorkspace = new Map<string, number>();
	for (const observation of observations) {
		const {workspace} = observation.arrival.profile.contract;
		const {outputTokens} = observation.arrival;
		demandByWorkspace.set(
			workspace,
			(demandByWorkspace.get(workspace) ?? 0) + outputTokens,
		);
		const delivered = isComplete(observation) ? outputTokens : 0;
		deliveredByWorkspace.set(
			workspace,
			(deliveredByWorkspace.get(workspace) ?? 0) + delivered,
		);
	}

	const total = sum([...deliveredByWorkspace.values()]);
	let remaining = total;
	let fairlyDelivered = 0;
	const ascending = [...demandByWorkspace].toSorted((a, b) => a[1] - b[1]);
	for (const [index, [workspace, demanded]] of ascending.entries()) {
		const fairAmount = Math.min(
			demanded,
			remaining / (ascending.length - index),
		);
		remaining -= fairAmount;
		fairlyDelivered += Math.min(
			fairAmount,
			deliveredByWorkspace.get(workspace)!,
		);
	}

	return total === 0 ? 1 : fairlyDelivered / total;
}
