import {Random, samplePrefix} from '../base/index.js';
import {
	prefixBlockTokens,
	type Contract,
	type Profile,
} from '../interfaces/index.js';
import type {EngineModel} from './fake-engine.js';

/** Demand of one request class. */
export type ClassDemand = {
	readonly contract: Omit<Contract, 'workspace' | 'weight'>;
	/** Part of the requests, before bursts. */
	readonly part: number;
	/** Median length of a prompt and of an answer in tokens; both are lognormal. */
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Standard deviation of the logarithm of the answer's length. */
	readonly spread: number;
	/** Tokens of the prompt that all requests of a workspace and class share. */
	readonly sharedTokens: number;
	/** Factor on the rate during the middle third of a run. */
	readonly burst: number;
	/** Requests that a workspace sends at the same instant. */
	readonly batch?: number;
};

export type Fault = 'none' | 'straggler' | 'crash' | 'tableOutage';

/** Non-idempotent calls of a plain service beside the model requests. */
export type ServiceDemand = {
	readonly contract: Omit<Contract, 'workspace' | 'weight'>;
	/** Calls for each model request. */
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
	/** Tokens that fit an engine's KV cache, when it differs from the model's. */
	readonly kvCapacity?: number;
};

/** One request with the length that the router must not know. */
export type Arrival = {
	readonly id: string;
	readonly at: number;
	readonly profile: Profile;
	/** Hashes of all of the prompt's blocks, as the engine has them. */
	readonly prefixChain: readonly string[];
	readonly outputTokens: number;
	/** Duration of a plain service's call, in milliseconds. */
	readonly durationMs?: number;
};

/** Standard deviation of the logarithm of the prompt's length. */
const promptSpread = 0.5;
/** Standard deviation of the logarithm of a service call's duration. */
const serviceSpread = 0.4;
const shortestAnswer = 8;
const longestAnswer = 2000;

/** Mean of a lognormal distribution with the given median. */
function lognormalMean(median: number, spread: number): number {
	return median * Math.exp(spread ** 2 / 2);
}

/** Requests a second that one engine completes with the batch that just meets the tightest gap target. */
export function engineCapacity(
	{classes}: Workload,
	model: EngineModel,
): {readonly perSecond: number; readonly batch: number} {
	const parts = classes.reduce((sum, {part}) => sum + part, 0);
	const mean = (value: (demand: ClassDemand) => number) =>
		classes.reduce((sum, item) => sum + (item.part / parts) * value(item), 0);
	const output = mean((item) => lognormalMean(item.outputTokens, item.spread));
	const prompt = mean(
		(item) =>
			lognormalMean(item.promptTokens, promptSpread) - item.sharedTokens / 2,
	);
	const gapMs = Math.min(...classes.map(({contract}) => contract.gapMs));
	const sequenceMs = model.sequenceMs + (model.promptTokenMs * prompt) / output;
	const batch = (gapMs - model.baseMs) / sequenceMs;
	return {perSecond: (1000 * batch) / (output * gapMs), batch};
}

/** Largest demand of the highest tier during a run, as a part of the capacity. */
export function tightPeak(
	workload: Workload,
	model: EngineModel,
	load: number,
): number {
	const cost = (item: ClassDemand) =>
		item.part *
		(lognormalMean(item.outputTokens, item.spread) * model.sequenceMs +
			(lognormalMean(item.promptTokens, promptSpread) - item.sharedTokens / 2) *
				model.promptTokenMs);
	let all = 0;
	let tight = 0;
	for (const item of workload.classes) {
		all += cost(item);
		tight += item.contract.tier === 0 ? cost(item) * item.burst : 0;
	}

	return (load * tight) / all;
}

/** Standard normal number by the Box-Muller transform. */
function normal(random: Random): number {
	return (
		Math.sqrt(-2 * Math.log(1 - random.next())) *
		Math.cos(2 * Math.PI * random.next())
	);
}

function lognormal(random: Random, median: number, spread: number): number {
	return Math.round(median * Math.exp(spread * normal(random)));
}

/** Rank of a workspace by a Zipf distribution. */
function zipf(random: Random, count: number, skew: number): number {
	const weights = Array.from({length: count}, (_, rank) => (rank + 1) ** -skew);
	let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [rank, weight] of weights.entries()) {
		left -= weight;
		if (left < 0) {
			return rank;
		}
	}

	return count - 1;
}

function answerLength(demand: ClassDemand, random: Random): number {
	const length = lognormal(random, demand.outputTokens, demand.spread);
	return Math.min(longestAnswer, Math.max(shortestAnswer, length));
}

function profileOf(
	demand: ClassDemand,
	workspace: string,
	id: string,
	random: Random,
): Pick<Arrival, 'profile' | 'prefixChain'> {
	const {requestClass} = demand.contract;
	const promptTokens = Math.max(
		demand.sharedTokens + 16,
		lognormal(random, demand.promptTokens, promptSpread),
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
		const workspace = `w${zipf(random, workspaces, skew)}`;
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
			durationMs: lognormal(random, durationMs, serviceSpread),
		});
	}

	return list;
}

/** Poisson arrivals at `load` times the capacity over `seconds`, in order of time. */
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

	const parts = workload.classes.reduce((sum, {part}) => sum + part, 0);
	const length = seconds * 1000;
	for (const [index, demand] of workload.classes.entries()) {
		const rate = (perSecond * demand.part) / parts / 1000;
		// Outside the burst the rate is lower, so that the mean stays.
		const quiet = rate * ((3 - demand.burst) / 2);
		const batch = demand.batch ?? 1;
		let at = 0;
		for (;;) {
			const inBurst = at >= length / 3 && at < (2 * length) / 3;
			const current = inBurst ? rate * demand.burst : quiet;
			at += random.exponential(batch / Math.max(current, rate / 1000));
			if (at >= length) {
				break;
			}

			const workspace = `w${zipf(random, workload.workspaces, workload.skew)}`;
			for (let count = 0; count < batch; count++) {
				const id = `r${index}-${list.length}`;
				list.push({
					id,
					at,
					...profileOf(demand, workspace, id, random),
					outputTokens: answerLength(demand, random),
				});
			}
		}
	}

	return list.toSorted((a, b) => a.at - b.at);
}
