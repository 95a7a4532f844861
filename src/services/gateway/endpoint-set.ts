import {Emitter, hash32} from '../../base/index.js';
import type {
	EndpointChange,
	ListedEndpoint,
	Service,
} from '../../interfaces/index.js';
import type {KeptBacklog, PeerLoads, ReadNotice} from './peer-loads.js';
import {ServiceDemand} from './service-demand.js';
import {Upstream} from './upstream.js';

/**
 * Time after an outage of the store for which a missing entry is still used, in
 * milliseconds: entries that lapsed meanwhile are back within about 2 s.
 */
const lapseGraceMs = 2000;

/** Digests are numbers below this. */
const digestRange = 2 ** 32;

/** Why an endpoint is no longer used. */
export type Departure = 'removed' | 'unreadable' | 'restarted' | 'lapsed';

/** Endpoints in the list of the platform's store, one upstream for each incarnation. */
export class EndpointSet {
	readonly #upstreams = new Map<string, Upstream>();
	readonly #byKey = new Map<number, Upstream>();
	readonly #demands = new Map<string, ServiceDemand>();
	/** Moment until which an entry that is missing from the list is still used. */
	readonly #missing = new Map<string, number>();
	readonly #onDidAdd = new Emitter<Upstream>();
	readonly #onDidLeave = new Emitter<{upstream: Upstream; why: Departure}>();
	readonly #onDidDrain = new Emitter<Upstream>();
	readonly #serviceOf: (name: string) => Service | undefined;
	readonly #peers: PeerLoads;

	constructor(
		serviceOf: (name: string) => Service | undefined,
		peers: PeerLoads,
	) {
		this.#serviceOf = serviceOf;
		this.#peers = peers;
	}

	readonly onDidAdd = this.#onDidAdd.event;
	readonly onDidLeave = this.#onDidLeave.event;
	readonly onDidDrain = this.#onDidDrain.event;

	/** Endpoints of a service that take new requests. */
	serving(service: string, now: number): Upstream[] {
		this.#dropLapsed(now);
		const serving: Upstream[] = [];
		for (const upstream of this.#upstreams.values()) {
			if (upstream.listed.service === service && !upstream.listed.isDraining) {
				serving.push(upstream);
			}
		}

		return serving;
	}

	/** What the requests to a service need. */
	demand(service: string): ServiceDemand {
		let demand = this.#demands.get(service);
		if (!demand) {
			demand = new ServiceDemand();
			this.#demands.set(service, demand);
		}

		return demand;
	}

	/** Finds an upstream by its key. */
	byKey(key: number): Upstream | undefined {
		return this.#byKey.get(key);
	}

	has(upstream: Upstream): boolean {
		return this.#upstreams.get(upstream.id) === upstream;
	}

	/** Takes over the whole list. After an outage, entries that are missing may have lapsed only because of it. */
	replace(
		changes: readonly EndpointChange[],
		now: number,
		isAfterOutage: boolean,
	): void {
		const present = new Set<string>();
		for (const change of changes) {
			present.add(change.type === 'listed' ? change.endpoint.id : change.id);
			this.apply(change, now);
		}

		for (const id of this.#upstreams.keys()) {
			if (present.has(id)) {
				this.#missing.delete(id);
			} else if (isAfterOutage) {
				this.#missing.set(id, now + lapseGraceMs);
			} else if (!this.#missing.has(id)) {
				this.#leave(id, 'removed');
			}
		}

		this.#dropLapsed(now);
	}

	apply(change: EndpointChange, now: number): void {
		switch (change.type) {
			case 'listed': {
				this.#listed(change.endpoint, now);
				break;
			}

			case 'removed': {
				this.#leave(change.id, 'removed');
				break;
			}

			case 'unreadable': {
				this.#leave(change.id, 'unreadable');
				break;
			}
		}
	}

	/** Notes what other gateways made engines read. */
	noteReads(reads: readonly ReadNotice[], now: number): void {
		for (const {endpoint, hash, tokens, isDone} of reads) {
			const prefixes = this.#byKey.get(endpoint)?.prefixes;
			const links = [{hash, tokens}];
			if (isDone) {
				prefixes?.read(links);
			} else {
				prefixes?.begin(links, now);
			}
		}
	}

	/** Takes over what the gateways that keep the engines' books say. */
	noteKept(kept: readonly KeptBacklog[], now: number): void {
		for (const {endpoint, ...backlog} of kept) {
			this.#byKey.get(endpoint)?.plan.assume(backlog, now);
		}
	}

	/** Digest of what all entries say, in any order; two gateways with one digest use the same endpoints. */
	digest(): number {
		let digest = 0;
		for (const {listed} of this.#upstreams.values()) {
			const {id, service, address, isDraining, startedAt} = listed;
			const text = `${id} ${service} ${address} ${isDraining} ${startedAt}`;
			digest = (digest + hash32(text)) % digestRange;
		}

		return digest;
	}

	/** All upstreams. */
	all(): Upstream[] {
		return [...this.#upstreams.values()];
	}

	#listed(endpoint: ListedEndpoint, now: number): void {
		this.#missing.delete(endpoint.id);
		const known = this.#upstreams.get(endpoint.id);
		if (known && isSameIncarnation(known.listed, endpoint)) {
			const wasDraining = known.listed.isDraining;
			known.listed = endpoint;
			if (endpoint.isDraining && !wasDraining) {
				this.#onDidDrain.fire(known);
			}

			return;
		}

		this.#leave(endpoint.id, 'restarted');
		const service = this.#serviceOf(endpoint.service);
		const upstream = new Upstream(
			endpoint,
			now,
			service,
			this.#peers,
			this.demand(endpoint.service),
		);
		this.#upstreams.set(endpoint.id, upstream);
		this.#byKey.set(upstream.key, upstream);
		this.#onDidAdd.fire(upstream);
	}

	#dropLapsed(now: number): void {
		for (const [id, until] of this.#missing) {
			if (now >= until) {
				this.#leave(id, 'lapsed');
			}
		}
	}

	#leave(id: string, why: Departure): void {
		this.#missing.delete(id);
		const upstream = this.#upstreams.get(id);
		if (upstream) {
			this.#upstreams.delete(id);
			this.#byKey.delete(upstream.key);
			this.#onDidLeave.fire({upstream, why});
		}
	}
}

function isSameIncarnation(
	known: ListedEndpoint,
	listed: ListedEndpoint,
): boolean {
	return (
		known.startedAt === listed.startedAt &&
		known.address === listed.address &&
		known.service === listed.service
	);
}
