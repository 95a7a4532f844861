import {ClassQueue} from './class-queue.js';
import type {SchedulerPolicy} from './scheduler-policy.js';
import type {ShareAccount} from './share-account.js';
import type {QueuedTicket} from './ticket.js';

/** Multiple of its share of the slots that a class below its share may occupy. */
const catchUpFactor = 1.25;

/** The ticket to start next, and whether it goes first because its class is below its guaranteed share. */
export type Choice = {
	readonly item: QueuedTicket;
	readonly isBelowShare: boolean;
};

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

	/** The queue of a ticket's class; created on first use. */
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
	dequeue(item: QueuedTicket): void {
		const queue = this.queueOf(item);
		queue.dequeue(item);
		queue.running++;
		this.#size--;
	}

	/**
	 * The ticket to start next: that of the class furthest below its share; if no
	 * class is below, the one of the highest tier and then the least slack among
	 * those that `mayStart` accepts.
	 */
	next(
		places: number,
		mayStart: (item: QueuedTicket) => boolean,
		now: number,
	): Choice | undefined {
		let furthestBelowShare: ClassQueue | undefined;
		let lowestFraction = 1;
		let best: ClassQueue | undefined;
		for (const queue of this.#queues.values()) {
			if (queue.size === 0) {
				continue;
			}

			const fraction = this.#receivedFraction(queue, places, now);
			if (fraction < lowestFraction) {
				furthestBelowShare = queue;
				lowestFraction = fraction;
			}

			if (mayStart(queue.first!) && (!best || precedes(queue, best))) {
				best = queue;
			}
		}

		const item = (furthestBelowShare ?? best)?.first;
		return item && {item, isBelowShare: furthestBelowShare !== undefined};
	}

	/** The queued ticket to shed first: the one with the most slack in the lowest tier. */
	firstToShed(): QueuedTicket | undefined {
		let queueToShed: ClassQueue | undefined;
		for (const queue of this.#queues.values()) {
			if (queue.size > 0 && (!queueToShed || queue.tier > queueToShed.tier)) {
				queueToShed = queue;
			}
		}

		return queueToShed?.leastUrgent;
	}

	/** Fraction of the cost served in the last 10 s that went to tiers higher than this one, 0 to 1. */
	servedFractionAbove(tier: number, now: number): number {
		let fraction = 0;
		for (const queue of this.#queues.values()) {
			fraction +=
				queue.tier < tier ? this.#account.share(queue.requestClass, now) : 0;
		}

		return fraction;
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

	/** Served cost of a class as a fraction of its guaranteed share; 1 or more when it has no claim to go first. */
	#receivedFraction(queue: ClassQueue, places: number, now: number): number {
		if (!this.#policy.shares || queue.share === 0) {
			return 1;
		}

		const allowed = Math.max(
			1,
			Math.ceil(queue.share * places * catchUpFactor),
		);
		return queue.running >= allowed
			? 1
			: this.#account.share(queue.requestClass, now) / queue.share;
	}
}

function precedes(a: ClassQueue, b: ClassQueue): boolean {
	return a.tier < b.tier || (a.tier === b.tier && a.urgency < b.urgency);
}
