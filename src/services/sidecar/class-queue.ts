import {SortedList} from '../../base/index.js';
import {FairQueue} from './fair-queue.js';
import type {QueuedTicket} from './ticket.js';

/** Queue of one request class. */
export class ClassQueue {
	readonly requestClass: string;
	readonly tier: number;
	/** Guaranteed share as last seen in a contract, 0 to 1. */
	share = 0;
	/** Attempts of the class that occupy a place. */
	running = 0;
	/** Place occupancy of the queued tickets, in milliseconds. */
	occupancyMs = 0;
	readonly #fair: boolean;
	readonly #queue = new FairQueue();
	readonly #byUrgency = new SortedList<QueuedTicket>();

	/** With `fair` unset all workspaces form one queue. */
	constructor(requestClass: string, tier: number, fair: boolean) {
		this.requestClass = requestClass;
		this.tier = tier;
		this.#fair = fair;
	}

	get size(): number {
		return this.#byUrgency.size;
	}

	/** The ticket that goes next. */
	get first(): QueuedTicket | undefined {
		return this.#queue.first;
	}

	/** The ticket that can best wait. */
	get leastUrgent(): QueuedTicket | undefined {
		return this.#byUrgency.last;
	}

	/** Least urgency value among the queued tickets. */
	get urgency(): number {
		return this.#byUrgency.firstKey ?? Infinity;
	}

	add(item: QueuedTicket): void {
		const {contract} = item.ticket.profile;
		this.share = contract.share;
		this.#queue.add(this.#flow(item), contract.weight, item);
		this.#byUrgency.add(item.urgency, item);
		this.occupancyMs += item.demand.occupancyMs;
	}

	remove(item: QueuedTicket): void {
		this.#queue.remove(this.#flow(item), item);
		this.#forget(item);
	}

	/** Removes a ticket that starts now. */
	take(item: QueuedTicket): void {
		this.#queue.take(this.#flow(item), item);
		this.#forget(item);
	}

	/** Corrects the charge of a workspace by the difference between actual and expected cost. */
	correct(item: QueuedTicket, difference: number): void {
		this.#queue.charge(this.#flow(item), difference);
	}

	/** Occupancy, in milliseconds, that goes before a new ticket of the class. */
	occupancyAhead(workspace: string, urgency: number): number {
		return this.#queue.occupancyAhead(this.#fair ? workspace : '', urgency);
	}

	/** Occupancy, in milliseconds, of the tickets that are more urgent. */
	occupancyBefore(urgency: number): number {
		return this.size === 0
			? 0
			: (this.occupancyMs * this.#byUrgency.countBelow(urgency)) / this.size;
	}

	/** All queued tickets in the order in which they would be served. */
	ordered(): QueuedTicket[] {
		return this.#queue.ordered();
	}

	#flow(item: QueuedTicket): string {
		return this.#fair ? item.ticket.profile.contract.workspace : '';
	}

	#forget(item: QueuedTicket): void {
		this.#byUrgency.remove(item.urgency, item);
		this.occupancyMs =
			this.size === 0 ? 0 : this.occupancyMs - item.demand.occupancyMs;
	}
}
