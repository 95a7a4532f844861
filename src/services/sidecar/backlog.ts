import {ClassQueue} from './class-queue.js';
import type {SchedulerPolicy} from './scheduler-policy.js';
import type {ShareAccount} from './share-account.js';
import type {QueuedTicket} from './ticket.js';

/** A class below its share may occupy this multiple of its share of the places. */
const catchUp = 1.25;

/** The ticket that goes next, and whether a guaranteed share owes it the place. */
export type Choice = {readonly item: QueuedTicket; readonly isOwed: boolean};

/** The queues of all classes and the order in which they are served. */
export class Backlog {
	readonly #queues = new Map<string, ClassQueue>();
	readonly #policy: SchedulerPolicy;
	readonly #account: ShareAccount;
	#size = 0;

	constructor(policy: SchedulerPolicy, account: ShareAccount) {
		this.#policy = policy;
		this.#account = account;
	}

	get size(): number {
		return this.#size;
	}

	/** Tier that decides the order; the same for all when tiers are switched off. */
	tierOf(item: QueuedTicket): number {
		return this.#policy.tiers ? item.ticket.profile.contract.tier : 0;
	}

	/** The queue of a ticket's class; made on first use. */
	queueOf(item: QueuedTicket): ClassQueue {
		const {requestClass, tier} = item.ticket.profile.contract;
		const key = `${tier}\n${requestClass}`;
		let queue = this.#queues.get(key);
		if (!queue) {
			queue = new ClassQueue(
				requestClass,
				this.tierOf(item),
				this.#policy.fairness,
			);
			this.#queues.set(key, queue);
		}

		return queue;
	}

	add(item: QueuedTicket): void {
		this.queueOf(item).add(item);
		this.#size++;
	}

	remove(item: QueuedTicket): void {
		this.queueOf(item).remove(item);
		this.#size--;
	}

	/** Removes a ticket that starts now. */
	take(item: QueuedTicket): void {
		const queue = this.queueOf(item);
		queue.take(item);
		queue.running++;
		this.#size--;
	}

	/** The ticket that goes next: of the class furthest below its share, else, among those that `mayStart` accepts, of the highest tier and least slack. */
	next(
		places: number,
		mayStart: (item: QueuedTicket) => boolean,
		now: number,
	): Choice | undefined {
		let owed: ClassQueue | undefined;
		let owedPart = 1;
		let best: ClassQueue | undefined;
		for (const queue of this.#queues.values()) {
			if (queue.size === 0) {
				continue;
			}

			const part = this.#receivedPart(queue, places, now);
			if (part < owedPart) {
				owed = queue;
				owedPart = part;
			}

			if (mayStart(queue.first!) && (!best || precedes(queue, best))) {
				best = queue;
			}
		}

		const item = (owed ?? best)?.first;
		return item && {item, isOwed: owed !== undefined};
	}

	/** The queued ticket that is shed first: of the lowest tier, the one that can best wait. */
	lowest(): QueuedTicket | undefined {
		let lowest: ClassQueue | undefined;
		for (const queue of this.#queues.values()) {
			if (queue.size > 0 && (!lowest || queue.tier > lowest.tier)) {
				lowest = queue;
			}
		}

		return lowest?.leastUrgent;
	}

	/** Part of the served cost of the last 10 s that went to higher tiers than this one, 0 to 1. */
	servedAbove(tier: number, now: number): number {
		let part = 0;
		for (const queue of this.#queues.values()) {
			part +=
				queue.tier < tier ? this.#account.share(queue.requestClass, now) : 0;
		}

		return part;
	}

	/** Non-empty queues, highest tier first. */
	waiting(): ClassQueue[] {
		return [...this.#queues.values()]
			.filter((queue) => queue.size > 0)
			.toSorted((a, b) => a.tier - b.tier);
	}

	dump(): unknown {
		return [...this.#queues.values()].map((queue) => ({
			requestClass: queue.requestClass,
			tier: queue.tier,
			queued: queue.size,
			running: queue.running,
		}));
	}

	/** What a class has received as a part of its guarantee; 1 or more when nothing is owed. */
	#receivedPart(queue: ClassQueue, places: number, now: number): number {
		if (!this.#policy.shares || queue.share === 0) {
			return 1;
		}

		const allowed = Math.max(1, Math.ceil(queue.share * places * catchUp));
		return queue.running >= allowed
			? 1
			: this.#account.share(queue.requestClass, now) / queue.share;
	}
}

function precedes(a: ClassQueue, b: ClassQueue): boolean {
	return a.tier < b.tier || (a.tier === b.tier && a.urgency < b.urgency);
}
