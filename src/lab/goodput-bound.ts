import type {EngineModel} from './fake-engine.js';
import {warmUpMs} from './measurement.js';
import type {Arrival, ClassDemand, Workload} from './workload.js';

/** Most output tokens a second that any scheduler could deliver in time. */
export type GoodputBound = {
	/** Regardless of tiers and shares: the most output for its engine time first. */
	readonly anyOrder: number;
	/** Guaranteed shares first, then in order of tiers. */
	readonly tierOrder: number;
};

/** Output of a request and the engine time that it adds to steps at least. */
type Item = {
	readonly requestClass: string;
	readonly outputTokens: number;
	readonly ms: number;
};

/** Takes the items with the most output for their engine time; returns the tokens and the time taken. */
function fill(
	items: readonly Item[],
	ms: number,
): {readonly tokens: number; readonly ms: number} {
	let left = ms;
	let tokens = 0;
	for (const item of items.toSorted(
		(a, b) => b.outputTokens / b.ms - a.outputTokens / a.ms,
	)) {
		const part = Math.min(1, left / item.ms);
		tokens += part * item.outputTokens;
		left -= part * item.ms;
	}

	return {tokens, ms: ms - left};
}

function fillInTierOrder(
	items: readonly Item[],
	classes: readonly ClassDemand[],
	ms: number,
): number {
	const ofClass = ({contract}: ClassDemand) =>
		items.filter(({requestClass}) => requestClass === contract.requestClass);
	const byTier = classes.toSorted((a, b) => a.contract.tier - b.contract.tier);
	// What the guarantees of the classes after this one take.
	let reserved = 0;
	for (const demand of byTier) {
		reserved += fill(ofClass(demand), demand.contract.share * ms).ms;
	}

	let left = ms;
	let tokens = 0;
	for (const demand of byTier) {
		const own = ofClass(demand);
		reserved -= fill(own, demand.contract.share * ms).ms;
		const taken = fill(own, left - reserved);
		left -= taken.ms;
		tokens += taken.tokens;
	}

	return tokens;
}

/**
 * Bound by a fluid relaxation: all lengths are known, all engines form one,
 * shared prompt prefixes are always cached, and every step takes exactly the
 * loosest gap target, of which the fixed part of a step is lost. It counts all arrivals, but only the engine time
 * after the warm-up, so it is loose below capacity.
 */
export function goodputBound(
	{classes, engines}: Workload,
	model: EngineModel,
	arrivals: readonly Arrival[],
	lengthMs: number,
): GoodputBound {
	const gapMs = Math.max(...classes.map(({contract}) => contract.gapMs));
	const shared = new Map(
		classes.map((item) => [item.contract.requestClass, item.sharedTokens]),
	);
	const items = arrivals
		.filter(({profile}) => profile.kind === 'model')
		.map(({profile, outputTokens}) => {
			const {requestClass} = profile.contract;
			const uncached = profile.promptTokens - (shared.get(requestClass) ?? 0);
			const ms =
				outputTokens * model.sequenceMs + uncached * model.promptTokenMs;
			return {requestClass, outputTokens, ms};
		});
	const windowMs = lengthMs - warmUpMs(lengthMs);
	const seconds = windowMs / 1000;
	const budgetMs = engines * windowMs * (1 - model.baseMs / gapMs);
	return {
		anyOrder: fill(items, budgetMs).tokens / seconds,
		tierOrder: fillInTierOrder(items, classes, budgetMs) / seconds,
	};
}
