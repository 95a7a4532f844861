import {LoadHistory} from './load-history.js';
import {
	allowedWaitFraction,
	lessUrgentBootFraction,
	QueuePressure,
} from './queue-pressure.js';
import {ServerCapacity, servingServers} from './server-capacity.js';
import type {SubjectObservation} from './subject-observation.js';

/** Bounds of the period over which the load is averaged, in milliseconds, and its length as a fraction of the boot time: a shorter rise is over before a new server serves. */
const minMeanMs = 3000;
const maxMeanMs = 15_000;
const meanBootFraction = 0.5;

/** Bounds of the window in which growth must last, in milliseconds, and its length as a fraction of the boot time. */
const minGrowthMs = 6000;
const maxGrowthMs = 60_000;
const growthBootFraction = 1;

/** Greatest load that growth is expected to lead to, as a multiple of the present one. */
const maxForecastFactor = 2;

/** Fraction of all slots in use from which requests are assumed to wait at gateways whose queues are not known. */
const saturatedFraction = 0.95;

/** Load that is assumed behind saturated servers, as a multiple of the load that can be seen. */
const saturatedLoadFactor = 1.25;

/** Bounds of the slots kept free for chance, in square roots of the load. */
const minSpareRoots = 1;
const maxSpareRoots = 2;

/** Latency target that is assumed while no request has been seen, in milliseconds. */
const assumedObjectiveMs = 1000;

/** What the strongest reason for the needed number is. */
export type NeedCause = 'load' | 'growth' | 'queue' | 'saturated';

/** Number of servers that the present load calls for. */
export type ServerNeed = {
	readonly servers: number;
	readonly cause: NeedCause;
	/** Requests wait too long or all slots are in use, so that the load which is seen is less than the demand. */
	readonly isPressed: boolean;
	/** Mean requests in progress. */
	readonly load: number;
};

/** Computes the number of servers that a subject needs, from its load, the growth of its load and what waits. */
export class NeedEstimate {
	readonly #load = new LoadHistory();
	readonly #pressure = new QueuePressure();
	readonly #capacity = new ServerCapacity();
	#saturatedSince: number | undefined;

	/** Drops what was observed, because it has a gap. What a server can do is kept. */
	clear(): void {
		this.#load.clear();
		this.#pressure.clear();
		this.#saturatedSince = undefined;
	}

	/** Adds an observation and returns the need. */
	update(observation: SubjectObservation, now: number): ServerNeed {
		const {limits, servers, slots} = observation;
		const {running, runningAtDraining} = observation.load;
		const meanMs = clamp(
			limits.bootMs * meanBootFraction,
			minMeanMs,
			maxMeanMs,
		);
		const growthMs = clamp(
			limits.bootMs * growthBootFraction,
			minGrowthMs,
			maxGrowthMs,
		);
		// What drains there ends, but its successors arrive at the other servers.
		this.#load.add(
			running + runningAtDraining,
			Math.max(meanMs, growthMs),
			now,
		);
		const load = this.#load.mean(meanMs, now);
		const missing = this.#missingSlots(observation, now);
		const isSaturated = this.#isSaturated(observation, now);
		const growth = this.#load.growthPerMs(growthMs, now);
		const forecast = Math.min(
			load * maxForecastFactor,
			load + growth * (limits.bootMs + meanMs / 2),
		);
		const estimates: ReadonlyArray<{cause: NeedCause; demand: number}> = [
			{cause: 'load', demand: load},
			{cause: 'growth', demand: forecast},
			{cause: 'queue', demand: missing > 0 ? forecast + missing : 0},
			{
				cause: 'saturated',
				demand: isSaturated ? load * saturatedLoadFactor : 0,
			},
		];
		const demand = Math.max(...estimates.map((estimate) => estimate.demand));
		const {cause} = estimates.find((estimate) => estimate.demand === demand)!;
		const eachSlots = this.#capacity.slots(slots, now);
		const spare = spareRoots(observation) * Math.sqrt(demand);
		const isFull =
			running >= slots * servingServers(servers) * saturatedFraction;
		return {
			// Without any server no load would be seen by which to order the first one.
			servers: Math.max(1, Math.ceil((demand + spare) / eachSlots)),
			cause,
			isPressed: missing > 0 || (isFull && running > 0),
			load,
		};
	}

	/** Slots that are lacking for waiting requests; learns from them what a server can do. */
	#missingSlots(observation: SubjectObservation, now: number): number {
		const {servers, slots, load} = observation;
		const serving = servingServers(servers);
		const capacity = serving * this.#capacity.slots(slots, now);
		const missing = this.#pressure.missingSlots(observation, capacity, now);
		if (serving > 0) {
			const runningAtEach = load.running / serving;
			if (missing > 0) {
				this.#capacity.recordPressure(runningAtEach, slots, now);
			} else if (observation.waiting.length === 0) {
				this.#capacity.recordCalm(runningAtEach, slots, now);
			}
		}

		return missing;
	}

	/** Whether all slots have been in use for so long that requests must be waiting somewhere. */
	#isSaturated(
		{servers, slots, load, limits, objectiveMs}: SubjectObservation,
		now: number,
	): boolean {
		const capacity = slots * servingServers(servers);
		if (capacity === 0 || load.running < capacity * saturatedFraction) {
			this.#saturatedSince = undefined;
			return false;
		}

		this.#saturatedSince ??= now;
		const confirmMs = Math.max(
			(objectiveMs ?? assumedObjectiveMs) * allowedWaitFraction,
			limits.bootMs * lessUrgentBootFraction,
		);
		return now - this.#saturatedSince >= confirmMs;
	}
}

/**
 * Slots to keep free for chance, in square roots of the load (square-root
 * staffing): few when a request may wait for as long as another one runs, more
 * when it may hardly wait.
 */
function spareRoots({
	occupancyMs,
	objectiveMs = assumedObjectiveMs,
}: SubjectObservation): number {
	return clamp(
		(occupancyMs ?? objectiveMs) /
			Math.max(1, objectiveMs * allowedWaitFraction),
		minSpareRoots,
		maxSpareRoots,
	);
}

function clamp(value: number, min: number, max: number): number {
	return Math.min(max, Math.max(min, value));
}
