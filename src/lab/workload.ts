import {Random, samplePrefix} from '../base/index.js';
import {
	prefixBlockTokens,
	type Contract,
	type Profile,
} from '../interfaces/index.js';
import type {EngineModel} from './fake-engine.js';

/** Load of one request class. */
export type ClassDemand = {
	readonly contract: Omit<Contract, 'workspace' | 'weight'>;
	/** Weight of the class among all requests, before bursts. */
	readonly part: number;
	/** Median lengths of prompts and answers in tokens; both are lognormal. */
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Standard deviation of the logarithm of the answer length. */
	readonly spread: number;
	/** Tokens of the prompt prefix that all requests of a workspace and class share. */
	readonly sharedTokens: number;
	/** Factor on the rate during the middle third of a run. */
	readonly burst: number;
	/** Requests that a workspace sends at the same time; 1 by default. */
	readonly batch?: number;
};

export type Fault = 'none' | 'straggler' | 'crash' | 'tableOutage';

/** Load of non-idempotent calls to a plain service, in addition to the model requests. */
export type ServiceDemand = {
	readonly contract: Omit<Contract, 'workspace' | 'weight'>;
	/** Calls per model request. */
	readonly part: number;
	/** Median duration of a call, in milliseconds; lognormal. */
	readonly durationMs: number;
	readonly instances: number;
};

/** Requests and faults of an experiment. */
export type Workload = {
	readonly name: string;
	readonly classes: readonly ClassDemand[];
	readonly workspaces: number;
	/** Exponent of the Zipf distribution of requests over workspaces. */
	readonly skew: number;
	readonly engines: number;
	readonly fault: Fault;
	readonly service?: ServiceDemand;
	/** Capacity of an engine's KV cache in tokens; overrides that of the engine model. */
	readonly kvCapacity?: number;
};

/** One request with its arrival time in milliseconds and its output length, which the router must not know. */
export type Arrival = {
	readonly id: string;
	readonly at: number;
	readonly profile: Profile;
	/** Hashes of all blocks of the prompt, as the engine caches them. */
	readonly prefixChain: readonly string[];
	readonly outputTokens: number;
	/** Duration of a call to a plain service, in milliseconds. */
	readonly durationMs?: number;
};

/** Standard deviation of the logarithm of the prompt length. */
const promptLengthSigma = 0.5;
/** Standard deviation of the logarithm of the duration of a service call. */
const serviceDurationSigma = 0.4;
/** Limits of the answer length, in tokens. */
const minOutputTokens = 8;
const maxOutputTokens = 2000;

/** Mean of a lognormal distribution, given its median and the standard deviation of the logarithm. */
function lognormalMean(median: number, sigma: number): number {
	return median * Math.exp(sigma ** 2 / 2);
}

/** Requests per second that one engine completes with the largest batch that meets the tightest gap target. */
export function engineCapacity(
	{classes}: Workload,
	model: EngineModel,
): {readonly perSecond: number; readonly batch: number} {
	const totalPart = classes.reduce((sum, {part}) => sum + part, 0);
	const mean = (value: (demand: ClassDemand) => number) =>
		classes.reduce(
			(sum, item) => sum + (item.part / totalPart) * value(item),
			0,
		);
	const meanOutputTokens = mean((item) =>
		lognormalMean(item.outputTokens, item.spread),
	);
	const meanPromptTokens = mean(
		(item) =>
			lognormalMean(item.promptTokens, promptLengthSigma) -
			item.sharedTokens / 2,
	);
	const gapMs = Math.min(...classes.map(({contract}) => contract.gapMs));
	const msPerSequence =
		model.msPerSequence +
		(model.msPerPromptToken * meanPromptTokens) / meanOutputTokens;
	const batch = (gapMs - model.baseMs) / msPerSequence;
	return {perSecond: (1000 * batch) / (meanOutputTokens * gapMs), batch};
}

/** Peak demand of the highest tier during a run, as a fraction of the capacity. */
export function tightPeak(
	workload: Workload,
	model: EngineModel,
	load: number,
): number {
	const cost = (item: ClassDemand) =>
		item.part *
		(lognormalMean(item.outputTokens, item.spread) * model.msPerSequence +
			(lognormalMean(item.promptTokens, promptLengthSigma) -
				item.sharedTokens / 2) *
				model.msPerPromptToken);
	let totalCost = 0;
	let tightCost = 0;
	for (const item of workload.classes) {
		totalCost += cost(item);
		tightCost += item.contract.tier === 0 ? cost(item) * item.burst : 0;
	}

	return (load * tightCost) / totalCost;
}

/** Draws a standard normal number by the Box-Muller transform. */
function sampleNormal(random: Random): number {
	return (
		Math.sqrt(-2 * Math.log(1 - random.next())) *
		Math.cos(2 * Math.PI * random.next())
	);
}

function sampleLognormal(
	random: Random,
	median: number,
	sigma: number,
): number {
	return Math.round(median * Math.exp(sigma * sampleNormal(random)));
}

/** Draws a rank from 0 to `count - 1` from a Zipf distribution with exponent `skew`. */
function sampleZipfRank(random: Random, count: number, skew: number): number {
	const weights = Array.from({length: count}, (_, rank) => (rank + 1) ** -skew);
	let remaining =
		random.next() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [rank, weight] of weights.entries()) {
		remaining -= weight;
		if (remaining < 0) {
			return rank;
		}
	}

	return count - 1;
}

function sampleOutputTokens(demand: ClassDemand, random: Random): number {
	const length = sampleLognormal(random, demand.outputTokens, demand.spread);
	return Math.min(maxOutputTokens, Math.max(minOutputTokens, length));
}

function createProfile(
	demand: ClassDemand,
	workspace: string,
	id: string,
	random: Random,
): Pick<Arrival, 'profile' | 'prefixChain'> {
	const {requestClass} = demand.contract;
	const promptTokens = Math.max(
		demand.sharedTokens + 16,
		sampleLognormal(random, demand.promptTokens, promptLengthSigma),
	);
	const prefixChain = Array.from(
		{length: Math.floor(promptTokens / prefixBlockTokens)},
		(_, block) =>
			block < Math.floor(demand.sharedTokens / prefixBlockTokens)
				? `${requestClass}/${workspace}/${block}`
				: `${id}/${block}`,
	);
	const profile: Profile = {
		contract: {...demand.contract, workspace, weight: 1},
		target: 'model',
		kind: 'model',
		promptTokens,
		prefix: samplePrefix(prefixChain),
	};
	return {profile, prefixChain};
}

function serviceArrivals(
	{workspaces, skew}: Workload,
	{contract, part, durationMs}: ServiceDemand,
	perSecond: number,
	seconds: number,
	seed: number,
): Arrival[] {
	const random = new Random(seed + 1_000_000);
	const list: Arrival[] = [];
	for (
		let at = random.exponential(1000 / (perSecond * part));
		at < seconds * 1000;
		at += random.exponential(1000 / (perSecond * part))
	) {
		const workspace = `w${sampleZipfRank(random, workspaces, skew)}`;
		list.push({
			id: `s${list.length}`,
			at,
			profile: {
				contract: {...contract, workspace, weight: 1},
				target: 'service',
				kind: 'service',
				promptTokens: 0,
				prefix: [],
			},
			prefixChain: [],
			outputTokens: 0,
			durationMs: sampleLognormal(random, durationMs, serviceDurationSigma),
		});
	}

	return list;
}

/** Poisson arrivals at a mean of `perSecond` model requests per second over `seconds`, by time. */
export function arrivals(
	workload: Workload,
	perSecond: number,
	seconds: number,
	seed: number,
): Arrival[] {
	const random = new Random(seed);
	const list: Arrival[] = [];
	const {service} = workload;
	if (service) {
		list.push(...serviceArrivals(workload, service, perSecond, seconds, seed));
	}

	const totalPart = workload.classes.reduce((sum, {part}) => sum + part, 0);
	const lengthMs = seconds * 1000;
	for (const [index, demand] of workload.classes.entries()) {
		const rate = (perSecond * demand.part) / totalPart / 1000;
		// The rate outside the burst is lower, so that the mean rate is the same.
		const rateOutsideBurst = rate * ((3 - demand.burst) / 2);
		const batch = demand.batch ?? 1;
		let at = 0;
		for (;;) {
			const isInBurst = at >= lengthMs / 3 && at < (2 * lengthMs) / 3;
			const current = isInBurst ? rate * demand.burst : rateOutsideBurst;
			at += random.exponential(batch / Math.max(current, rate / 1000));
			if (at >= lengthMs) {
				break;
			}

			const workspace = `w${sampleZipfRank(random, workload.workspaces, workload.skew)}`;
			for (let count = 0; count < batch; count++) {
				const id = `r${index}-${list.length}`;
				list.push({
					id,
					at,
					...createProfile(demand, workspace, id, random),
					outputTokens: sampleOutputTokens(demand, random),
				});
			}
		}
	}

	return list.toSorted((a, b) => a.at - b.at);
}
