import {Emitter, hash32} from '../../base/index.js';
import type {
	EndpointChange,
	ListedEndpoint,
	Service,
} from '../../interfaces/index.js';
import {EngineLosses} from './engine-losses.js';
import type {KeptBacklog, PeerLoads, ReadNotice} from './peer-loads.js';
import {ServiceDemand} from './service-demand.js';
import {Upstream} from './upstream.js';

/**
 * Time after an outage of the store for which a missing entry is still used, in
 * milliseconds: entries that lapsed meanwhile are back within about 2 s.
 */
const lapseGraceMs = 2000;

/** Endpoints that have left of which something is remembered: more than leave while a copy of the store ages by some seconds. */
const maxDeparted = 4000;

/** Time for which other gateways are told of an endpoint that said that it leaves and is gone, in milliseconds. */
const toldDepartureMs = 30_000;

/** Digests are numbers below this. */
const digestRange = 2 ** 32;

/** Why an endpoint is no longer used. */
export type Departure = 'removed' | 'unreadable' | 'restarted' | 'lapsed';

/** An incarnation of an endpoint that wants no new requests. */
export type Leaver = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Unix time of its start in milliseconds; 0 when it is not known. */
	readonly startedAt: number;
};

/** What outlives an upstream: its entry may come back for the same incarnation. */
type Departed = {
	readonly key: number;
	readonly startedAt: number;
	readonly isLeaving: boolean;
	readonly restsUntil: number;
	readonly at: number;
};

/** Endpoints in the list of the platform's store, one upstream for each incarnation. */
export class EndpointSet {
	readonly #upstreams = new Map<string, Upstream>();
	readonly #byKey = new Map<number, Upstream>();
	readonly #demands = new Map<string, ServiceDemand>();
	readonly #losses = new Map<string, EngineLosses>();
	/** Moment until which an entry that is missing from the list is still used. */
	readonly #missing = new Map<string, number>();
	/** By id. */
	readonly #departed = new Map<string, Departed>();
	/** Version of the store up to which entries come from an older copy. */
	#restoredUpTo = Number.NEGATIVE_INFINITY;
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
			if (upstream.listed.service === service && !upstream.isLeaving) {
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

	/** Losses of answers at the endpoints of a service. */
	losses(service: string): EngineLosses {
		let losses = this.#losses.get(service);
		if (!losses) {
			losses = new EngineLosses();
			this.#losses.set(service, losses);
		}

		return losses;
	}

	/** Finds an upstream by its key. */
	byKey(key: number): Upstream | undefined {
		return this.#byKey.get(key);
	}

	has(upstream: Upstream): boolean {
		return this.#upstreams.get(upstream.id) === upstream;
	}

	/** Whether an endpoint that was chosen earlier still takes a request: it may have left, asked for rest or failed meanwhile. */
	takesRequests(upstream: Upstream, now: number): boolean {
		return (
			this.has(upstream) &&
			!upstream.isLeaving &&
			upstream.unavailableMs(now) === 0
		);
	}

	/** The store has come back from an older copy: entries up to this version may be of endpoints that have left since. */
	restored(upTo: number): void {
		this.#restoredUpTo = upTo;
	}

	/** An endpoint says that it wants no new requests. Returns whether that is news. */
	markLeaving(upstream: Upstream): boolean {
		const isNews = !upstream.isLeaving;
		upstream.leave();
		return isNews;
	}

	/** Takes over which endpoints other gateways know to leave: a hint that only takes an endpoint out of use. Returns those for which it is news. */
	noteLeavers(leavers: readonly Leaver[]): Upstream[] {
		return leavers.flatMap(({endpoint, startedAt}) => {
			const upstream = this.#byKey.get(endpoint);
			return upstream &&
				startOf(upstream.listed) === startedAt &&
				this.markLeaving(upstream)
				? [upstream]
				: [];
		});
	}

	/** Endpoints that are leaving or have lately left, for the other gateways. */
	leavers(now: number): Leaver[] {
		const present = [...this.#upstreams.values()]
			.filter(({isLeaving}) => isLeaving)
			.map(({key, listed}) => ({endpoint: key, startedAt: startOf(listed)}));
		const departed = [...this.#departed.values()]
			.filter(({isLeaving, at}) => isLeaving && now - at < toldDepartureMs)
			.map(({key, startedAt}) => ({endpoint: key, startedAt}));
		return [...present, ...departed];
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
				this.#leave(id, 'removed', now);
			}
		}

		this.#dropLapsed(now);
	}

	apply(change: EndpointChange, now: number): void {
		switch (change.type) {
			case 'listed': {
				this.#listed(change.endpoint, change.version, now);
				break;
			}

			case 'removed': {
				this.#leave(change.id, 'removed', now);
				break;
			}

			case 'unreadable': {
				this.#leave(change.id, 'unreadable', now);
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

	#listed(endpoint: ListedEndpoint, version: number, now: number): void {
		if (version <= this.#restoredUpTo && this.#isPast(endpoint)) {
			return;
		}

		this.#missing.delete(endpoint.id);
		const known = this.#upstreams.get(endpoint.id);
		if (known && isSameIncarnation(known.listed, endpoint)) {
			const wasLeaving = known.isLeaving;
			known.listed = endpoint;
			if (wasLeaving) {
				known.leave();
			} else if (known.isLeaving) {
				this.#onDidDrain.fire(known);
			}

			return;
		}

		this.#leave(endpoint.id, 'restarted', now);
		const service = this.#serviceOf(endpoint.service);
		const upstream = new Upstream(
			endpoint,
			now,
			service,
			this.#peers,
			this.demand(endpoint.service),
		);
		this.#recall(upstream);
		this.#upstreams.set(endpoint.id, upstream);
		this.#byKey.set(upstream.key, upstream);
		this.#onDidAdd.fire(upstream);
	}

	/** Whether an entry of an older copy is of an incarnation that has left or has been followed by a later one. */
	#isPast(endpoint: ListedEndpoint): boolean {
		const known = this.#upstreams.get(endpoint.id);
		if (known) {
			return startOf(endpoint) < startOf(known.listed);
		}

		const departed = this.#departed.get(endpoint.id);
		return departed !== undefined && startOf(endpoint) <= departed.startedAt;
	}

	/** Gives an incarnation whose entry is back what was known of it. */
	#recall(upstream: Upstream): void {
		const departed = this.#departed.get(upstream.id);
		if (departed?.startedAt === startOf(upstream.listed)) {
			upstream.rest(departed.restsUntil);
			if (departed.isLeaving) {
				upstream.leave();
			}
		}
	}

	#remember(upstream: Upstream, now: number): void {
		const {id, key, listed, isLeaving, restsUntil} = upstream;
		this.#departed.delete(id);
		this.#departed.set(id, {
			key,
			startedAt: startOf(listed),
			isLeaving,
			restsUntil,
			at: now,
		});
		const [oldest] = this.#departed.keys();
		if (this.#departed.size > maxDeparted) {
			this.#departed.delete(oldest!);
		}
	}

	#dropLapsed(now: number): void {
		for (const [id, until] of this.#missing) {
			if (now >= until) {
				this.#leave(id, 'lapsed', now);
			}
		}
	}

	#leave(id: string, why: Departure, now: number): void {
		this.#missing.delete(id);
		const upstream = this.#upstreams.get(id);
		if (upstream) {
			this.#upstreams.delete(id);
			this.#byKey.delete(upstream.key);
			this.#remember(upstream, now);
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

/** Start of an incarnation, to compare incarnations of one id; 0 when it is not known. */
function startOf({startedAt}: ListedEndpoint): number {
	return startedAt ?? 0;
}
