import type {Backlog} from './backlog.js';
import type {ClassQueue} from './class-queue.js';
import type {QueuedTicket} from './ticket.js';

/** Places in the batch at the time of an estimate. */
export type Places = {
	readonly limit: number;
	readonly running: number;
	/** Mean time for which a request occupies a place, in milliseconds. */
	readonly occupancyMs: number;
};

/** A class is expected to get at least this part of the places. */
const smallestPart = 0.02;

/** Time until a request starts that has `aheadMs` of occupancy before it and is served by a part of the places. */
function waitMs(
	aheadMs: number,
	limit: number,
	running: number,
	occupancyMs: number,
): number {
	const beyondFree = aheadMs + (running + 1 - limit) * occupancyMs;
	return Math.max(0, beyondFree) / limit;
}

/** Part of the places that is left by the arrivals of higher tiers, taken as what they got lately, and by the guarantees of waiting lower tiers. */
function partLeft(own: ClassQueue, backlog: Backlog, now: number): number {
	let part = 1 - backlog.servedAbove(own.tier, now);
	for (const queue of backlog.waiting()) {
		part -= queue.tier > own.tier ? queue.share : 0;
	}

	return Math.max(smallestPart, part);
}

/** The sooner of the start in order of tiers and the start by the class's own guarantee, in milliseconds. */
function sooner(
	queue: ClassQueue,
	places: Places,
	part: number,
	ahead: {readonly allMs: number; readonly classMs: number},
): number {
	const byTier =
		waitMs(ahead.allMs, places.limit, places.running, places.occupancyMs) /
		part;
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

/** Expected time until a new ticket starts, in milliseconds. `reservedMs` is occupancy promised to others. */
export function expectedWait(
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

	return sooner(own, places, partLeft(own, backlog, now), {allMs, classMs});
}

/** Queued tickets that cannot start in time behind the work ahead of them, in the order of service. */
export function unreachable(
	backlog: Backlog,
	places: Places,
	now: number,
	tolerance: number,
): QueuedTicket[] {
	const late: QueuedTicket[] = [];
	const waiting = backlog.waiting();
	let allMs = 0;
	for (const queue of waiting) {
		const part = partLeft(queue, backlog, now);
		let classMs = 0;
		for (const item of queue.ordered()) {
			const wait = sooner(queue, places, part, {
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
