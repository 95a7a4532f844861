import type {Upstream} from './upstream.js';

/** Requests that a plain endpoint of mean speed gets at most, as a multiple of its slots: those beyond the slots are queued there. */
const maxQueueFactor = 1.25;

/** Bounds of that multiple for faster and slower endpoints: a slow one still works on half of its slots, and a queue at a fast one delays no request by more than one at a mean one. */
const minFactor = 0.5;
const maxFactor = 1.5;

/** Number of requests that a plain endpoint may hold. */
export type RequestBound = (upstream: Upstream) => number;

/**
 * Divides the requests that plain endpoints may hold by their present speed, so
 * that a queued request waits about equally long at each of them. Endpoints that
 * do not state their slowdown get the same multiple of their slots as ever.
 */
export function requestBounds(
	upstreams: readonly Upstream[],
	now: number,
): RequestBound {
	const stating = upstreams.filter(({pace}) => pace.slowdown.isReported);
	const speeds = stating.map((upstream) => 1 / upstream.slowness(now));
	const meanSpeed = speeds.reduce((sum, each) => sum + each, 0) / speeds.length;
	return (upstream) => {
		const {slots} = upstream.listed;
		if (!upstream.pace.slowdown.isReported) {
			return slots * maxQueueFactor;
		}

		const relativeSpeed = 1 / upstream.slowness(now) / meanSpeed;
		return (
			slots *
			Math.min(maxFactor, Math.max(minFactor, maxQueueFactor * relativeSpeed))
		);
	};
}
