import {Random} from '../../base/index.js';
import type {ScalingLimits, ServerOrder} from '../../interfaces/index.js';
import {ServerOrders} from './server-orders.js';
import type {
	SubjectObservation,
	WaitingRequests,
} from './subject-observation.js';

/** Time of one step of the simulation, in milliseconds. */
const stepMs = 10;

/** Time between two decisions, in milliseconds. */
const decisionMs = 1000;

/** Requests of one kind. */
export type SimulatedKind = {
	/** Rank in which they get capacity, 0 first. */
	readonly rank: number;
	/** Latency target of the whole answer, in milliseconds. */
	readonly objectiveMs: number;
	/** Mean time at a server, in milliseconds. */
	readonly serviceMs: number;
	/** Arrivals per second at a time. */
	readonly perSecond: (now: number) => number;
};

/** What is played. */
export type SimulatedLoad = {
	readonly kinds: readonly SimulatedKind[];
	readonly limits: ScalingLimits;
	/** Requests that a server runs at once. */
	readonly slots: number;
	readonly servers: number;
	readonly durationMs: number;
	readonly seed: number;
	/** The number of servers stays as it is at first. */
	readonly isFixed?: boolean;
	/** Whether the holder gets reports at a time. */
	readonly isSeen?: (now: number) => boolean;
	/** Whether the holder knows what waits. */
	readonly isQueueKnown?: boolean;
	/** Time at which the platform lets some of the servers drain, and their number. */
	readonly drains?: {readonly at: number; readonly servers: number};
	/** Time at which another gateway becomes the holder. */
	readonly newHolderAt?: number;
};

/** Callers' results of one kind. */
export type KindResult = {sent: number; onTime: number};

export type SimulationResult = {
	/** In the order of the kinds. */
	readonly kinds: readonly KindResult[];
	/** Seconds of all servers, booting and draining ones included. */
	readonly billedSeconds: number;
	/** Numbers that were ordered, each once when it changed. */
	readonly orders: ReadonlyArray<{
		readonly at: number;
		readonly desired: number;
	}>;
};

type Request = {
	readonly kind: SimulatedKind;
	readonly result: KindResult;
	readonly arrivedAt: number;
	readonly serviceMs: number;
};

type Server = {
	readonly servesFrom: number;
	isDraining: boolean;
	/** Ends of the requests in progress. */
	running: number[];
};

/** Plays requests, a queue and servers with a boot time, whose number follows the orders of a holder. */
export function simulateOrders(load: SimulatedLoad): SimulationResult {
	return new Simulation(load).run();
}

class Simulation {
	readonly #load: SimulatedLoad;
	readonly #random: Random;
	readonly #results: KindResult[];
	#servers: Server[];
	#queue: Request[] = [];
	#holder: ServerOrders;
	#lastSeenAt = 0;
	#now = 0;
	#billedMs = 0;
	readonly #orders: Array<{at: number; desired: number}> = [];
	#row: readonly ServerOrder[] = [];

	constructor(load: SimulatedLoad) {
		this.#load = load;
		this.#random = new Random(load.seed);
		this.#results = load.kinds.map(() => ({sent: 0, onTime: 0}));
		this.#servers = Array.from({length: load.servers}, () => startServer(0));
		this.#holder = this.#createHolder();
	}

	run(): SimulationResult {
		const {durationMs, drains, newHolderAt, isFixed} = this.#load;
		for (; this.#now < durationMs; this.#now += stepMs) {
			if (this.#now === drains?.at) {
				this.#drain(drains.servers);
			}

			if (this.#now === newHolderAt) {
				this.#holder = this.#createHolder();
				this.#holder.restore(this.#row, this.#now);
			}

			this.#arrive();
			this.#serve();
			if (!isFixed && this.#now % decisionMs === 0) {
				this.#order();
			}

			this.#billedMs += this.#servers.length * stepMs;
		}

		return {
			kinds: this.#results,
			billedSeconds: this.#billedMs / 1000,
			orders: this.#orders,
		};
	}

	#createHolder(): ServerOrders {
		return new ServerOrders({
			isNeeded: () => true,
			limits: () => this.#load.limits,
			observe: (now) => [this.#observe(now)],
		});
	}

	#arrive(): void {
		for (const [index, kind] of this.#load.kinds.entries()) {
			const chance = (kind.perSecond(this.#now) * stepMs) / 1000;
			const result = this.#results[index]!;
			// The arrivals of one step are as many as exponential pauses fit into it.
			for (
				let time = this.#random.exponential(1);
				time < chance;
				time += this.#random.exponential(1)
			) {
				result.sent++;
				const serviceMs = kind.serviceMs * (0.5 + this.#random.next());
				this.#queue.push({kind, result, arrivedAt: this.#now, serviceMs});
			}
		}
	}

	#serve(): void {
		const now = this.#now;
		for (const server of this.#servers) {
			server.running = server.running.filter((end) => end > now);
		}

		this.#servers = this.#servers.filter(
			({isDraining, running}) => !isDraining || running.length > 0,
		);
		this.#queue = this.#queue
			.filter(({kind, arrivedAt}) => now - arrivedAt < kind.objectiveMs)
			.toSorted(
				(a, b) => a.kind.rank - b.kind.rank || b.arrivedAt - a.arrivedAt,
			);
		while (this.#queue.length > 0) {
			const [free] = this.#serving().toSorted(
				(one, other) => one.running.length - other.running.length,
			);
			if (!free || free.running.length >= this.#load.slots) {
				return;
			}

			const {kind, result, arrivedAt, serviceMs} = this.#queue.shift()!;
			free.running.push(now + serviceMs);
			result.onTime += Number(now + serviceMs - arrivedAt <= kind.objectiveMs);
		}
	}

	/** Lets the holder decide, and does what it orders. */
	#order(): void {
		this.#row = this.#holder.decide(this.#now);
		const [order] = this.#row;
		if (!order) {
			return;
		}

		const {desired} = order;
		if (this.#orders.at(-1)?.desired !== desired) {
			this.#orders.push({at: this.#now, desired});
		}

		const present = this.#servers.filter(({isDraining}) => !isDraining);
		for (let count = present.length; count < desired; count++) {
			this.#servers.push(startServer(this.#now + this.#load.limits.bootMs));
		}

		this.#drain(present.length - desired);
	}

	/** Lets the servers drain that were started last. */
	#drain(count: number): void {
		const present = this.#servers.filter(({isDraining}) => !isDraining);
		for (const server of present.slice(Math.max(0, present.length - count))) {
			server.isDraining = count > 0;
		}
	}

	#serving(): Server[] {
		return this.#servers.filter(
			({isDraining, servesFrom}) => !isDraining && servesFrom <= this.#now,
		);
	}

	#observe(now: number): SubjectObservation {
		const {limits, slots, kinds, isSeen, isQueueKnown} = this.#load;
		if (isSeen?.(now) ?? true) {
			this.#lastSeenAt = now;
		}

		const ageMs = now - this.#lastSeenAt;
		const serving = this.#serving();
		const draining = this.#servers.filter(({isDraining}) => isDraining);
		const work = kinds.map(({serviceMs, perSecond}) => ({
			serviceMs,
			weight: perSecond(now),
		}));
		const weight = work.reduce((sum, kind) => sum + kind.weight, 0);
		return {
			service: 's',
			dataCentre: 'd',
			limits,
			servers: {
				ready: serving.length,
				warming: 0,
				draining: draining.length,
				ageMs,
			},
			load: {
				// Figures that are not seen look like servers without work.
				running: ageMs > 0 ? 0 : runningAt(serving),
				runningAtDraining: ageMs > 0 ? 0 : runningAt(draining),
				ageMs,
			},
			waiting: ageMs === 0 && isQueueKnown !== false ? this.#waiting() : [],
			slots,
			occupancyMs:
				weight === 0
					? undefined
					: work.reduce((sum, kind) => sum + kind.serviceMs * kind.weight, 0) /
						weight,
			objectiveMs: Math.min(...kinds.map(({objectiveMs}) => objectiveMs)),
		};
	}

	#waiting(): WaitingRequests[] {
		return [...new Set(this.#queue.map(({kind}) => kind))].map((kind) => {
			const queued = this.#queue.filter((request) => request.kind === kind);
			const firstAt = Math.min(...queued.map(({arrivedAt}) => arrivedAt));
			return {
				rank: kind.rank,
				objectiveMs: kind.objectiveMs,
				count: queued.length,
				longestWaitMs: this.#now - firstAt,
			};
		});
	}
}

function startServer(servesFrom: number): Server {
	return {servesFrom, isDraining: false, running: []};
}

function runningAt(servers: readonly Server[]): number {
	return servers.reduce((sum, {running}) => sum + running.length, 0);
}
