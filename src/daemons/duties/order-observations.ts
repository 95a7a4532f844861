import type {
	Configuration,
	ScalingLimits,
	Service,
} from '../../interfaces/index.js';
import type {
	ObservationSource,
	SubjectObservation,
	WaitingRequests,
} from '../../services/duties/index.js';
import type {
	EndpointSet,
	PeerLoads,
	QueuedRequest,
	Upstream,
} from '../../services/gateway/index.js';

/** Time in milliseconds after which a gateway that is no longer heard counts as stopped. Until then its requests are missing from the load; afterwards they have ended with it or were taken over. */
const stoppedMs = 10_000;

/** Fraction of the gateways on the roster that must be heard, this one included. With fewer, this gateway is more likely cut off than the others are stopped. */
const minHeardFraction = 0.75;

/** Requests in the recent past from which their mean time at a server is derived. */
const minOccupancySamples = 5;

/** Weight of one sample in the moving average of that time. */
const sampleWeight = 0.2;

export type OrderObservationsOptions = {
	readonly endpoints: EndpointSet;
	readonly loads: PeerLoads;
	/** Requests that wait at this gateway. */
	readonly queue: Iterable<QueuedRequest>;
	/** Configuration in force. */
	readonly configuration: () => Configuration | undefined;
	/** Gateways on the roster, including this one. */
	readonly gateways: () => number;
	/** Data centre of this gateway. */
	readonly dataCentre: string;
	/** Time since the list of endpoints was last known to be current, in milliseconds. */
	readonly endpointsAgeMs: () => number;
};

/** Gathers what this gateway knows of the services with scaling limits. Does nothing until it is asked. */
export class OrderObservations implements ObservationSource {
	readonly #options: OrderObservationsOptions;
	#configuration: Configuration | undefined;
	#scaled = new Map<string, ScalingLimits>();
	/** Times at which other gateways were last heard, by name. */
	readonly #heardAt = new Map<string, number>();
	/** Mean time at a server by service, in milliseconds. */
	readonly #occupancies = new Map<string, number>();

	constructor(options: OrderObservationsOptions) {
		this.#options = options;
	}

	isNeeded(): boolean {
		return this.#limits().size > 0;
	}

	limits(service: string): ScalingLimits | undefined {
		return this.#limits().get(service);
	}

	observe(now: number): readonly SubjectObservation[] {
		const scaled = this.#limits();
		if (scaled.size === 0) {
			return [];
		}

		const loadAgeMs = this.#loadAgeMs(now);
		const groups = this.#groups(scaled);
		const gatewaysHere = this.#gatewaysHere(groups, now);
		const waiting = new Map(
			[...scaled.keys()].map((service) => [
				service,
				this.#waiting(service, now),
			]),
		);
		for (const [service, requests] of waiting) {
			this.#updateOccupancy(service, requests.length === 0, now);
		}

		return [...groups.values()].flatMap((upstreams) => {
			const {service, dataCentre} = upstreams[0]!.listed;
			const limits = scaled.get(service);
			if (!limits) {
				return [];
			}

			return [
				{
					service,
					dataCentre,
					limits,
					...summarize(upstreams, now, {
						serversAgeMs: this.#options.endpointsAgeMs(),
						loadAgeMs,
					}),
					// The other gateways of the data centre are assumed to have as many.
					waiting:
						dataCentre === this.#options.dataCentre
							? (waiting.get(service) ?? []).map((requests) => ({
									...requests,
									count: requests.count * gatewaysHere,
								}))
							: [],
					occupancyMs: this.#occupancies.get(service),
					objectiveMs: this.#options.endpoints
						.demand(service)
						.tightestObjectiveMs(Number.POSITIVE_INFINITY, now),
				},
			];
		});
	}

	/** Limits by service, derived once for each version of the configuration. */
	#limits(): ReadonlyMap<string, ScalingLimits> {
		const configuration = this.#options.configuration();
		if (configuration !== this.#configuration) {
			this.#configuration = configuration;
			this.#scaled = new Map(
				(configuration?.services ?? []).flatMap(({name, scaling}: Service) =>
					scaling ? [[name, scaling] as const] : [],
				),
			);
		}

		return this.#scaled;
	}

	/** Listed endpoints of the services with limits, by service and data centre. */
	#groups(
		scaled: ReadonlyMap<string, ScalingLimits>,
	): ReadonlyMap<string, Upstream[]> {
		const groups = new Map<string, Upstream[]>();
		for (const upstream of this.#options.endpoints.all()) {
			const {service, dataCentre} = upstream.listed;
			if (scaled.has(service)) {
				const key = JSON.stringify([service, dataCentre]);
				const group = groups.get(key) ?? [];
				group.push(upstream);
				groups.set(key, group);
			}
		}

		return groups;
	}

	/** Time since all gateways' loads were known, in milliseconds. */
	#loadAgeMs(now: number): number {
		const {loads, gateways} = this.#options;
		const heard = loads.nameHashes(now);
		for (const name of heard.keys()) {
			this.#heardAt.set(name, now);
		}

		let oldest = now;
		for (const [name, at] of this.#heardAt) {
			if (now - at > stoppedMs) {
				this.#heardAt.delete(name);
			} else {
				oldest = Math.min(oldest, at);
			}
		}

		return heard.size + 1 < gateways() * minHeardFraction
			? Number.POSITIVE_INFINITY
			: now - oldest;
	}

	/** Gateways in this data centre, which are assumed to be spread evenly. */
	#gatewaysHere(
		groups: ReadonlyMap<string, readonly Upstream[]>,
		now: number,
	): number {
		const dataCentres = new Set(
			[...groups.values()].map(([upstream]) => upstream!.listed.dataCentre),
		);
		const gateways = this.#options.loads.count(now) + 1;
		return Math.max(1, Math.round(gateways / Math.max(1, dataCentres.size)));
	}

	/** Requests for a service that wait at this gateway, by rank. */
	#waiting(service: string, now: number): WaitingRequests[] {
		const ranks = new Map<number, WaitingRequests>();
		for (const request of this.#options.queue) {
			if (request.service === service) {
				const {rank, objectiveMs, arrivedAt} = request;
				const others = ranks.get(rank);
				ranks.set(rank, {
					rank,
					count: (others?.count ?? 0) + 1,
					objectiveMs: Math.min(
						objectiveMs,
						others?.objectiveMs ?? objectiveMs,
					),
					longestWaitMs: Math.max(now - arrivedAt, others?.longestWaitMs ?? 0),
				});
			}
		}

		return [...ranks.values()];
	}

	/** Derives the mean time at a server from this gateway's own requests: those in progress are the product of their rate and that time (Little's law). It holds only while none wait. */
	#updateOccupancy(service: string, isCalm: boolean, now: number): void {
		const {endpoints} = this.#options;
		const perMs = endpoints.demand(service).requestsPerMs(now);
		if (!isCalm || perMs * stoppedMs < minOccupancySamples) {
			return;
		}

		let running = 0;
		for (const upstream of endpoints.all()) {
			if (upstream.listed.service === service) {
				running += upstream.ownRunning;
			}
		}

		const sample = running / perMs;
		const known = this.#occupancies.get(service) ?? sample;
		this.#occupancies.set(service, known + sampleWeight * (sample - known));
	}
}

/** Counts of the listed endpoints of one service in one data centre. */
function summarize(
	upstreams: readonly Upstream[],
	now: number,
	{
		serversAgeMs,
		loadAgeMs,
	}: {readonly serversAgeMs: number; readonly loadAgeMs: number},
): Pick<SubjectObservation, 'servers' | 'load' | 'slots'> {
	let ready = 0;
	let warming = 0;
	let draining = 0;
	let slots = 0;
	let running = 0;
	let runningAtDraining = 0;
	for (const upstream of upstreams) {
		const {listed, firstSeenAt, isLeaving} = upstream;
		if (isLeaving) {
			draining++;
			runningAtDraining += upstream.running(now);
			continue;
		}

		const isWarm = firstSeenAt + listed.warmUpMs <= now;
		ready += Number(isWarm);
		warming += Number(!isWarm);
		running += upstream.running(now);
		slots += listed.slots;
	}

	return {
		servers: {ready, warming, draining, ageMs: serversAgeMs},
		load: {running, runningAtDraining, ageMs: loadAgeMs},
		slots: slots / Math.max(1, ready + warming),
	};
}
