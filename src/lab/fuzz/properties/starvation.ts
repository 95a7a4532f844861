import type {History, SentRequest} from '../history.js';
import type {Property} from './property.js';

/** Interval in which a backlogged class must get its share, in milliseconds, and the minimum fraction of the share. */
const windowMs = 30_000;
const minShareFraction = 0.9;

/** Start of the first checked window, after one window of the scheduler, and time between the starts of checked windows, in milliseconds. */
const warmUpMs = 10_000;
const windowStrideMs = 2000;

/** Time for which a refused request counts as demand of its class, and time between two checks of the demand, in milliseconds. */
const refusedDemandMs = 2000;
const demandCheckMs = 500;

/** Invariant 2, for plans with one endpoint: a class with continuous demand gets at least 90% of its guaranteed share of the tokens in every 30 s. */
export const starvation: Property = {
	name: 'starvation',
	violations(history) {
		const lastStartedAt = Math.max(0, ...history.executed.map(({at}) => at));
		const violations: string[] = [];
		for (
			let from = warmUpMs;
			from + windowMs <= lastStartedAt;
			from += windowStrideMs
		) {
			for (const requestClass of ['tight', 'loose'] as const) {
				violations.push(...shareViolations(history, requestClass, from));
			}
		}

		return violations;
	},
};

function shareViolations(
	history: History,
	requestClass: SentRequest['requestClass'],
	from: number,
): string[] {
	const to = from + windowMs;
	if (!isBacklogged(history, requestClass, from, to)) {
		return [];
	}

	let classTokens = 0;
	let allTokens = 0;
	for (const {request, tokensAt} of history.executed) {
		const tokens = tokensAt.filter((at) => at >= from && at < to).length;
		allTokens += tokens;
		if (history.sent.get(request)!.requestClass === requestClass) {
			classTokens += tokens;
		}
	}

	const share = history.shares[requestClass];
	return classTokens < minShareFraction * share * allTokens
		? [
				`class ${requestClass} got ${classTokens} of ${allTokens} tokens from ${from} to ${to}, with a share of ${share}`,
			]
		: [];
}

/** Whether the class has demand at each check: a request that waits, or one that was refused shortly before. */
function isBacklogged(
	history: History,
	requestClass: SentRequest['requestClass'],
	from: number,
	to: number,
): boolean {
	const startOf = new Map(
		history.executed.map(({request, at}) => [request, at]),
	);
	const demandPeriods = [...history.sent.values()]
		.filter((sent) => sent.requestClass === requestClass)
		.map((sent) => ({
			from: sent.at,
			to:
				startOf.get(sent.id) ??
				(sent.ends[0]?.at ?? Number.POSITIVE_INFINITY) + refusedDemandMs,
		}));
	for (let at = from; at <= to; at += demandCheckMs) {
		if (!demandPeriods.some((period) => period.from < at && at < period.to)) {
			return false;
		}
	}

	return true;
}
