import type {History, Sent} from '../history.js';
import type {Property} from './property.js';

/** Interval in which a backlogged class gets its share, in milliseconds, and the part of the share that it gets at least. */
const windowMs = 30_000;
const leastPart = 0.9;

/** Time after which the first window starts, which is the scheduler's own window, and between two checked windows, in milliseconds. */
const warmUpMs = 10_000;
const strideMs = 2000;

/** Time for which a refused request counts as demand of its class, and between two looks at the demand, in milliseconds. */
const refusedMs = 2000;
const checkMs = 500;

/** Invariant 2, for plans with one endpoint: a class that has demand all the time gets at least 90% of its guaranteed share of the tokens in every 30 s. */
export const starvation: Property = {
	name: 'starvation',
	violations(history) {
		const last = Math.max(0, ...history.executed.map(({at}) => at));
		const violations: string[] = [];
		for (let from = warmUpMs; from + windowMs <= last; from += strideMs) {
			for (const requestClass of ['tight', 'loose'] as const) {
				violations.push(...starved(history, requestClass, from));
			}
		}

		return violations;
	},
};

function starved(
	history: History,
	requestClass: Sent['requestClass'],
	from: number,
): string[] {
	const to = from + windowMs;
	if (!isBacklogged(history, requestClass, from, to)) {
		return [];
	}

	let own = 0;
	let all = 0;
	for (const {request, tokensAt} of history.executed) {
		const tokens = tokensAt.filter((at) => at >= from && at < to).length;
		all += tokens;
		if (history.sent.get(request)!.requestClass === requestClass) {
			own += tokens;
		}
	}

	const share = history.shares[requestClass];
	return own < leastPart * share * all
		? [
				`class ${requestClass} got ${own} of ${all} tokens from ${from} to ${to}, with a share of ${share}`,
			]
		: [];
}

/** Whether the class has demand all the time: a request that waits, or one that was refused shortly before. */
function isBacklogged(
	history: History,
	requestClass: Sent['requestClass'],
	from: number,
	to: number,
): boolean {
	const startOf = new Map(
		history.executed.map(({request, at}) => [request, at]),
	);
	const waits = [...history.sent.values()]
		.filter((sent) => sent.requestClass === requestClass)
		.map((sent) => ({
			from: sent.at,
			to:
				startOf.get(sent.id) ??
				(sent.ends[0]?.at ?? Number.POSITIVE_INFINITY) + refusedMs,
		}));
	for (let at = from; at <= to; at += checkMs) {
		if (!waits.some((wait) => wait.from < at && at < wait.to)) {
			return false;
		}
	}

	return true;
}
