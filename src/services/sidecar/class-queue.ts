import {SortedList} from '../../base/index.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedTicket} from './ticket.js';

/** Queued tickets of one request class, with the totals that wait estimates need. */
export class ClassQueue {
	readonly requestClass: string;
	readonly tier: number;
	/** Guaranteed share as last seen in a contract, 0 to 1. */
	share = 0;
	/** Attempts of the class that occupy a slot. */
	running = 0;
	/** Slot occupancy of the queued tickets, in milliseconds. */
	occupancyMs = 0;
	readonly #isFair: boolean;
	readonly #queue = new FairQueue();
	readonly #byUrgency = new SortedList<QueuedTicket>();

	/** With `fair` unset, all workspaces share one queue. */
	constructor(requestClass: string, tier: number, fair: boolean) {
		this.requestClass = requestClass;
		this.tier = tier;
		this.#isFair = fair;
	}

	get size(): number {
		return this.#byUrgency.size;
	}

	/** The ticket that goes next. */
	get first(): QueuedTicket | undefined {
		return this.#queue.first;
	}

	/** The ticket with the most slack. */
	get leastUrgent(): QueuedTicket | undefined {
		return this.#byUrgency.last;
	}

	/** Minimum urgency value of the queued tickets, which is that of the most urgent; infinite when there are none. */
	get urgency(): number {
		return this.#byUrgency.firstKey ?? Infinity;
	}

	add(item: QueuedTicket): void {
		const {contract} = item.ticket.profile;
		this.share = contract.share;
		this.#queue.add(this.#flowOf(item), contract.weight, item);
		this.#byUrgency.add(item.urgency, item);
		this.occupancyMs += item.demand.occupancyMs;
	}

	remove(item: QueuedTicket): void {
		this.#queue.remove(this.#flowOf(item), item);
		this.#updateAfterRemoval(item);
	}

	/** Removes a ticket that starts now and charges its workspace. */
	dequeue(item: QueuedTicket): void {
		this.#queue.dequeue(this.#flowOf(item), item);
		this.#updateAfterRemoval(item);
	}

	/** Adjusts the charge of a workspace by the difference between actual and expected cost. */
	adjustCharge(item: QueuedTicket, difference: number): void {
		this.#queue.charge(this.#flowOf(item), difference);
	}

	/** Occupancy, in milliseconds, that is served before a new ticket of the class. */
	occupancyAhead(workspace: string, urgency: number): number {
		return this.#queue.occupancyAhead(this.#isFair ? workspace : '', urgency);
	}

	/** Estimated occupancy, in milliseconds, of the tickets that are more urgent; assumes that all have the mean. */
	occupancyBefore(urgency: number): number {
		return this.size === 0
			? 0
			: (this.occupancyMs * this.#byUrgency.countBelow(urgency)) / this.size;
	}

	/** All queued tickets in the order in which they would be served. */
	ordered(): QueuedTicket[] {
		return this.#queue.ordered();
	}

	#flowOf(item: QueuedTicket): string {
		return this.#isFair ? item.ticket.profile.contract.workspace : '';
	}

	#updateAfterRemoval(item: QueuedTicket): void {
		this.#byUrgency.remove(item.urgency, item);
		this.occupancyMs =
			this.size === 0 ? 0 : this.occupancyMs - item.demand.occupancyMs;
	}
}
