import type {Outcome} from '../interfaces/index.js';
import type {EngineTotals} from './fake-engine.js';
import type {Arrival, ClassDemand} from './workload.js';

/** Cost of a prompt token relative to an output token, as the engine model has it. */
const promptTokenCost = 0.1;
const bucketMs = 1000;

/** Time at the start of a run that goodput leaves out, because the engines are still empty, in milliseconds. */
export function warmUpMs(lengthMs: number): number {
	return lengthMs / 6;
}

/** Length of a window in which a class must get its guaranteed share, in buckets. */
const shareWindow = 30;

type ContractOnly = Pick<ClassDemand, 'contract'>;

/** What a caller saw of one request. */
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

/** Engine time of each class and whether it had work waiting, by second. */
type ClassSeries = {readonly servedMs: number[]; readonly waiting: boolean[]};

/** Requests that were not answered whole, got their first token too late, or got their tokens too slowly. */
export type Misses = {
	readonly unanswered: number;
	readonly late: number;
	readonly slow: number;
};

/** Results of one run. All parts are 0 to 1. */
export type RunResult = {
	/** Part of the requests of each class that were answered whole and within both targets. */
	readonly attainment: Readonly<Record<string, number>>;
	/** Mean time until a request that was not run got its answer, in milliseconds. */
	readonly refusedAfterMs: number;
	/** Requests of each class that missed, by cause. */
	readonly misses: Readonly<Record<string, Misses>>;
	/** Output tokens a second, of answers that were delivered whole and in time. */
	readonly goodput: number;
	/** Part of the computed tokens that belong to no delivered whole answer. */
	readonly wasted: number;
	/** Least over the classes: what workspaces got of their max-min fair amounts. */
	readonly fairness: number;
	/** Requests of each tier that ended without a whole answer. */
	readonly shed: Readonly<Record<string, number>>;
	/** Least part of its guaranteed share that a waiting class got in any 30 s; undefined when none was waiting for that long. */
	readonly share: number | undefined;
};

/** Collects what callers and engines see during one run. */
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
		const seen = this.#observations.get(id)!;
		if (seen.firstTokenAt === undefined) {
			seen.firstTokenAt = now;
			seen.firstTokens = tokens;
		}

		seen.lastTokenAt = now;
		seen.chunks.push({at: now, tokens});
		seen.tokens += tokens;
	}

	onEnd(id: string, outcome: Outcome, now: number): void {
		const seen = this.#observations.get(id)!;
		seen.outcome = outcome;
		seen.endedAt = now;
		if (outcome === 'not_run') {
			// A class that is refused work is waiting as much as one with a queue.
			const {requestClass} = seen.arrival.profile.contract;
			this.onQueued([requestClass], now);
		}
	}

	onServed(requestClass: string, ms: number, now: number): void {
		const {servedMs} = this.#of(requestClass);
		const bucket = Math.floor(now / bucketMs);
		servedMs[bucket] = (servedMs[bucket] ?? 0) + ms;
	}

	/** Notes the classes that have work waiting. */
	onQueued(classes: readonly string[], now: number): void {
		for (const requestClass of classes) {
			this.#of(requestClass).waiting[Math.floor(now / bucketMs)] = true;
		}
	}

	/** Evaluates a run whose arrivals came from `demands` over `lengthMs`. */
	result(
		demands: readonly ContractOnly[],
		lengthMs: number,
		totals: EngineTotals,
	): RunResult {
		const all = [...this.#observations.values()];
		const attainment: Record<string, number> = {};
		const shed: Record<string, number> = {};
		const misses: Record<string, Misses> = {};
		const fairness: number[] = [];
		for (const {contract} of demands) {
			const own = all.filter(
				({arrival}) =>
					arrival.profile.contract.requestClass === contract.requestClass,
			);
			const inTime = own.filter((seen) => isInTime(seen));
			attainment[contract.requestClass] = inTime.length / own.length;
			shed[contract.tier] =
				(shed[contract.tier] ?? 0) +
				own.filter((seen) => !isWhole(seen)).length;
			misses[contract.requestClass] = missesOf(own);
			fairness.push(fairnessOf(own));
		}

		return {
			attainment,
			shed,
			misses,
			refusedAfterMs: refusedAfterMs(all),
			goodput: this.#goodput(lengthMs),
			wasted: wasted(all, totals),
			fairness: Math.min(...fairness),
			share: this.#leastShare(demands, lengthMs),
		};
	}

	/** Counts tokens delivered while requests arrived, after the warm-up. */
	#goodput(lengthMs: number): number {
		const from = warmUpMs(lengthMs);
		let tokens = 0;
		for (const seen of this.#observations.values()) {
			if (isInTime(seen)) {
				for (const chunk of seen.chunks) {
					tokens += chunk.at >= from && chunk.at < lengthMs ? chunk.tokens : 0;
				}
			}
		}

		return tokens / ((lengthMs - from) / 1000);
	}

	#of(requestClass: string): ClassSeries {
		let series = this.#series.get(requestClass);
		if (!series) {
			series = {servedMs: [], waiting: []};
			this.#series.set(requestClass, series);
		}

		return series;
	}

	#leastShare(
		demands: readonly ContractOnly[],
		lengthMs: number,
	): number | undefined {
		const buckets = Math.floor(lengthMs / bucketMs);
		let least: number | undefined;
		for (const {contract} of demands) {
			const own = this.#of(contract.requestClass);
			for (let from = 0; from + shareWindow <= buckets; from++) {
				const to = from + shareWindow;
				const waiting = own.waiting.slice(from, to).filter(Boolean).length;
				if (contract.share > 0 && waiting === shareWindow) {
					let total = 0;
					for (const {servedMs} of this.#series.values()) {
						total += sum(servedMs.slice(from, to));
					}

					const part = sum(own.servedMs.slice(from, to)) / total;
					least = Math.min(least ?? Infinity, part / contract.share);
				}
			}
		}

		return least;
	}
}

function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value ?? 0;
	}

	return total;
}

function isWhole(seen: Observation): boolean {
	return (
		seen.outcome === 'completed' && seen.tokens === seen.arrival.outputTokens
	);
}

function isLate(seen: Observation): boolean {
	const {arrival, firstTokenAt = Infinity} = seen;
	return firstTokenAt - arrival.at > arrival.profile.contract.firstTokenMs;
}

/** The mean gap between tokens exceeds the target. */
function isSlow(seen: Observation): boolean {
	const {arrival, firstTokenAt = 0, lastTokenAt, tokens, firstTokens} = seen;
	const gaps = Math.max(1, tokens - firstTokens);
	return (lastTokenAt - firstTokenAt) / gaps > arrival.profile.contract.gapMs;
}

function isInTime(seen: Observation): boolean {
	return isWhole(seen) && !isLate(seen) && !isSlow(seen);
}

function missesOf(own: readonly Observation[]): Misses {
	const whole = own.filter((seen) => isWhole(seen));
	return {
		unanswered: own.length - whole.length,
		late: whole.filter((seen) => isLate(seen)).length,
		slow: whole.filter((seen) => !isLate(seen) && isSlow(seen)).length,
	};
}

function refusedAfterMs(all: readonly Observation[]): number {
	const times = all
		.filter((seen) => seen.outcome === 'not_run')
		.map((seen) => seen.endedAt - seen.arrival.at);
	return sum(times) / Math.max(1, times.length);
}

function wasted(all: readonly Observation[], totals: EngineTotals): number {
	const delivered = sum(
		all.filter((seen) => isWhole(seen)).map((seen) => seen.tokens),
	);
	const lost =
		totals.generated - delivered + totals.recomputed * promptTokenCost;
	return (
		lost / Math.max(1, totals.generated + totals.prefilled * promptTokenCost)
	);
}

/** Tokens delivered to each workspace, as a part of the max-min fair amounts for the same total. */
function fairnessOf(own: readonly Observation[]): number {
	const demand = new Map<string, number>();
	const got = new Map<string, number>();
	for (const seen of own) {
		const {workspace} = seen.arrival.profile.contract;
		const {outputTokens} = seen.arrival;
		demand.set(workspace, (demand.get(workspace) ?? 0) + outputTokens);
		const delivered = isWhole(seen) ? outputTokens : 0;
		got.set(workspace, (got.get(workspace) ?? 0) + delivered);
	}

	const total = sum([...got.values()]);
	let left = total;
	let shared = 0;
	const ascending = [...demand].toSorted((a, b) => a[1] - b[1]);
	for (const [index, [workspace, wanted]] of ascending.entries()) {
		const fair = Math.min(wanted, left / (ascending.length - index));
		left -= fair;
		shared += Math.min(fair, got.get(workspace)!);
	}

	return total === 0 ? 1 : shared / total;
}
