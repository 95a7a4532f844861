import {SortedList} from '../../base/index.js';
import type {QueuedTicket} from './ticket.js';

/** Queued tickets of one workspace in a class, and its state in fair queueing. */
type Flow = {
	readonly workspace: string;
	readonly items: SortedList<QueuedTicket>;
	weight: number;
	/** Start tag of the flow's next item, in virtual time. */
	startTag: number;
	/** Cost of the queued items, in the unit of `Demand.cost`. */
	cost: number;
	/** Slot occupancy of the queued items, in milliseconds. */
	occupancyMs: number;
};

/** Number of flows from which a new one evicts the oldest idle flow; idle flows are kept for their tags. */
const maxFlows = 4096;

/**
 * Start-time fair queueing over workspaces (Goyal, Vin and Cheng 1996) with
 * tokens as the cost, and least slack first inside a workspace.
 */
export class FairQueue {
	readonly #flows = new Map<string, Flow>();
	readonly #backlogged = new SortedList<Flow>();
	#virtualTime = 0;

	/** The ticket that goes next. */
	get first(): QueuedTicket | undefined {
		return this.#backlogged.first?.items.first;
	}

	add(workspace: string, weight: number, item: QueuedTicket): void {
		const flow = this.#getOrCreateFlow(workspace, weight);
		if (flow.items.size === 0) {
			flow.startTag = Math.max(flow.startTag, this.#virtualTime);
			this.#backlogged.add(flow.startTag, flow);
		}

		flow.items.add(item.urgency, item);
		flow.cost += item.demand.cost;
		flow.occupancyMs += item.demand.occupancyMs;
	}

	/** Removes a ticket without charging its workspace. */
	remove(workspace: string, item: QueuedTicket): boolean {
		const flow = this.#flows.get(workspace);
		if (!flow?.items.remove(item.urgency, item)) {
			return false;
		}

		flow.cost -= item.demand.cost;
		flow.occupancyMs -= item.demand.occupancyMs;
		if (flow.items.size === 0) {
			this.#backlogged.remove(flow.startTag, flow);
			flow.cost = 0;
			flow.occupancyMs = 0;
		}

		return true;
	}

	/** Removes a ticket that starts now and charges its workspace with the expected cost. */
	dequeue(workspace: string, item: QueuedTicket): void {
		if (this.remove(workspace, item)) {
			const flow = this.#flows.get(workspace)!;
			this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
			this.charge(workspace, item.demand.cost);
		}
	}

	/** Charges a workspace for served cost; a negative cost refunds an estimate that was too high. */
	charge(workspace: string, cost: number): void {
		const flow = this.#flows.get(workspace);
		if (!flow) {
			return;
		}

		const tag = Math.max(0, flow.startTag + cost / flow.weight);
		if (flow.items.size > 0) {
			this.#backlogged.remove(flow.startTag, flow);
			this.#backlogged.add(tag, flow);
		}

		flow.startTag = tag;
	}

	/** Occupancy, in milliseconds, that is served before a new ticket of this workspace. */
	occupancyAhead(workspace: string, urgency: number): number {
		const own = this.#flows.get(workspace);
		const ownAheadFraction =
			own && own.items.size > 0
				? own.items.countBelow(urgency) / own.items.size
				: 0;
		const weight = own?.weight ?? 1;
		const startTag =
			Math.max(own?.startTag ?? 0, this.#virtualTime) +
			((own?.cost ?? 0) * ownAheadFraction) / weight;
		let aheadMs = (own?.occupancyMs ?? 0) * ownAheadFraction;
		for (const flow of this.#backlogged) {
			if (flow.startTag >= startTag) {
				break;
			}

			if (flow !== own) {
				const cost = Math.min(
					flow.cost,
					(startTag - flow.startTag) * flow.weight,
				);
				aheadMs += (flow.occupancyMs * cost) / flow.cost;
			}
		}

		return aheadMs;
	}

	/** All queued tickets in the order in which they would be served. */
	ordered(): QueuedTicket[] {
		const tagged: Array<{tag: number; item: QueuedTicket}> = [];
		for (const flow of this.#backlogged) {
			let tag = flow.startTag;
			for (const item of flow.items) {
				tagged.push({tag, item});
				tag += item.demand.cost / flow.weight;
			}
		}

		return tagged.toSorted((a, b) => a.tag - b.tag).map(({item}) => item);
	}

	#getOrCreateFlow(workspace: string, weight: number): Flow {
		let flow = this.#flows.get(workspace);
		if (!flow) {
			this.#dropIdleFlow();
			flow = {
				workspace,
				items: new SortedList(),
				weight,
				startTag: 0,
				cost: 0,
				occupancyMs: 0,
			};
			this.#flows.set(workspace, flow);
		}

		flow.weight = weight;
		return flow;
	}

	#dropIdleFlow(): void {
		if (this.#flows.size < maxFlows) {
			return;
		}

		for (const [workspace, flow] of this.#flows) {
			if (flow.items.size === 0) {
				this.#flows.delete(workspace);
				return;
			}
		}
	}
}
