import type {Backlog} from './backlog.js';
import type {ClassQueue} from './class-queue.js';
import type {QueuedTicket} from './ticket.js';

/** Slots in the batch at the time of an estimate. */
export type Places = {
	readonly limit: number;
	readonly running: number;
	/** Mean time for which a request occupies a slot, in milliseconds. */
	readonly occupancyMs: number;
};

/** Fraction of the slots that a class is expected to get at least. */
const minFraction = 0.02;

/** Time until a request starts, in milliseconds, with `aheadMs` of occupancy queued before it and `limit` slots to serve them. */
function waitMs(
	aheadMs: number,
	limit: number,
	running: number,
	occupancyMs: number,
): number {
	const beyondFreeMs = aheadMs + (running + 1 - limit) * occupancyMs;
	return Math.max(0, beyondFreeMs) / limit;
}

/** Fraction of the slots left for a class after the higher tiers, which are assumed to go on at their recent rate, and the guaranteed shares of waiting lower tiers. */
function remainingFraction(
	own: ClassQueue,
	backlog: Backlog,
	now: number,
): number {
	let fraction = 1 - backlog.servedFractionAbove(own.tier, now);
	for (const queue of backlog.waiting()) {
		fraction -= queue.tier > own.tier ? queue.share : 0;
	}

	return Math.max(minFraction, fraction);
}

/** Time until the start, in milliseconds: by tier order or by the class's guaranteed share, whichever comes first. */
function earliestStartMs(
	queue: ClassQueue,
	places: Places,
	fraction: number,
	ahead: {readonly allMs: number; readonly classMs: number},
): number {
	const byTier =
		waitMs(ahead.allMs, places.limit, places.running, places.occupancyMs) /
		fraction;
	if (queue.share === 0) {
		return byTier;
	}

	const byShare = waitMs(
		ahead.classMs,
		Math.max(1, places.limit * queue.share),
		queue.running,
		places.occupancyMs,
	);
	return Math.min(byTier, byShare);
}

/** Expected time until a new ticket starts, in milliseconds. `reservedMs` is the occupancy of outstanding offers. */
export function expectedWaitMs(
	item: QueuedTicket,
	backlog: Backlog,
	places: Places,
	reservedMs: number,
	now: number,
): number {
	const own = backlog.queueOf(item);
	const waiting = backlog.waiting();
	const classMs = own.occupancyAhead(
		item.ticket.profile.contract.workspace,
		item.urgency,
	);
	let allMs = classMs + reservedMs;
	for (const queue of waiting) {
		if (queue.tier < own.tier) {
			allMs += queue.occupancyMs;
		} else if (queue.tier === own.tier && queue !== own) {
			allMs += queue.occupancyBefore(item.urgency);
		}
	}

	return earliestStartMs(own, places, remainingFraction(own, backlog, now), {
		allMs,
		classMs,
	});
}

/** Queued tickets that cannot start in time behind the work ahead of them, in the order of service. */
export function findLateTickets(
	backlog: Backlog,
	places: Places,
	now: number,
	tolerance: number,
): QueuedTicket[] {
	const late: QueuedTicket[] = [];
	const waiting = backlog.waiting();
	let allMs = 0;
	for (const queue of waiting) {
		const fraction = remainingFraction(queue, backlog, now);
		let classMs = 0;
		for (const item of queue.ordered()) {
			const wait = earliestStartMs(queue, places, fraction, {
				allMs: allMs + classMs,
				classMs,
			});
			if (wait > (item.latestStart - now) * tolerance) {
				late.push(item);
			} else {
				classMs += item.demand.occupancyMs;
			}
		}

		allMs += classMs;
	}

	return late;
}
