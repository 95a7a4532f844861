import type {EngineModel} from './fake-engine.js';
import {warmUpMs} from './measurement.js';
import type {Arrival, ClassDemand, Workload} from './workload.js';

/** Upper bound on the output tokens per second that any scheduler could deliver in time. */
export type GoodputBound = {
	/** Regardless of tiers and shares: requests with the most output per engine time first. */
	readonly anyOrder: number;
	/** Guaranteed shares first, then by tier. */
	readonly tierOrder: number;
};

/** Output of a request and the minimum engine time that it adds to steps, in milliseconds. */
type WorkItem = {
	readonly requestClass: string;
	readonly outputTokens: number;
	readonly ms: number;
};

/** Fills `ms` of engine time with the items of most output per engine time; returns their tokens and the time used. */
function fillGreedily(
	items: readonly WorkItem[],
	ms: number,
): {readonly tokens: number; readonly ms: number} {
	let remainingMs = ms;
	let tokens = 0;
	for (const item of items.toSorted(
		(a, b) => b.outputTokens / b.ms - a.outputTokens / a.ms,
	)) {
		const fraction = Math.min(1, remainingMs / item.ms);
		tokens += fraction * item.outputTokens;
		remainingMs -= fraction * item.ms;
	}

	return {tokens, ms: ms - remainingMs};
}

function fillInTierOrder(
	items: readonly WorkItem[],
	classes: readonly ClassDemand[],
	ms: number,
): number {
	const ofClass = ({contract}: ClassDemand) =>
		items.filter(({requestClass}) => requestClass === contract.requestClass);
	const byTier = classes.toSorted((a, b) => a.contract.tier - b.contract.tier);
	// Engine time that the guaranteed shares of the classes not yet filled need.
	let reservedMs = 0;
	for (const demand of byTier) {
		reservedMs += fillGreedily(ofClass(demand), demand.contract.share * ms).ms;
	}

	let remainingMs = ms;
	let tokens = 0;
	for (const demand of byTier) {
		const classItems = ofClass(demand);
		reservedMs -= fillGreedily(classItems, demand.contract.share * ms).ms;
		const filled = fillGreedily(classItems, remainingMs - reservedMs);
		remainingMs -= filled.ms;
		tokens += filled.tokens;
	}

	return tokens;
}

/**
 * Computes the bound by a fluid relaxation: all lengths are known, all engines
 * are pooled, shared prompt prefixes are always cached, and every step takes
 * exactly the loosest gap target, less the fixed cost of a step. It counts all
 * arrivals, but only the engine time after the warm-up, so it is loose below
 * capacity.
 */
export function goodputBound(
	{classes, engines}: Workload,
	model: EngineModel,
	arrivals: readonly Arrival[],
	lengthMs: number,
): GoodputBound {
	const gapMs = Math.max(...classes.map(({contract}) => contract.gapMs));
	const sharedTokens = new Map(
		classes.map((item) => [item.contract.requestClass, item.sharedTokens]),
	);
	const items = arrivals
		.filter(({profile}) => profile.kind === 'model')
		.map(({profile, outputTokens}) => {
			const {requestClass} = profile.contract;
			const uncached =
				profile.promptTokens - (sharedTokens.get(requestClass) ?? 0);
			const ms =
				outputTokens * model.msPerSequence + uncached * model.msPerPromptToken;
			return {requestClass, outputTokens, ms};
		});
	const windowMs = lengthMs - warmUpMs(lengthMs);
	const seconds = windowMs / 1000;
	const budgetMs = engines * windowMs * (1 - model.baseMs / gapMs);
	return {
		anyOrder: fillGreedily(items, budgetMs).tokens / seconds,
		tierOrder: fillInTierOrder(items, classes, budgetMs) / seconds,
	};
}
