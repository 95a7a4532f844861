import {Emitter, hash32} from '../../base/index.js';
import type {
	EndpointChange,
	ListedEndpoint,
	Route,
	Service,
} from '../../interfaces/index.js';
import {EngineLosses} from './engine-losses.js';
import type {HealthNotice} from './health.js';
import type {OwnedBacklog, PeerLoads, PrefillNotice} from './peer-loads.js';
import {ServiceDemand} from './service-demand.js';
import {Upstream} from './upstream.js';

/** Removed endpoints whose state is kept: more than are removed in the few seconds by which a backup of the store is behind. */
const maxRemoved = 4000;

/** Time after the removal of a leaving endpoint for which it is still reported to the other gateways, in milliseconds. */
const leavingNoticeMs = 30_000;

/** Digests are numbers below this bound. */
const digestRange = 2 ** 32;

/** Why an endpoint was removed from the set; `lapsed` after the grace period for a missing entry. */
export type RemovalReason = 'removed' | 'unreadable' | 'restarted' | 'lapsed';

/** Incarnation of an endpoint that takes no new requests. */
export type LeavingEndpoint = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Unix time of its start in milliseconds; 0 when unknown. */
	readonly startedAt: number;
};

/** State of a removed endpoint, kept because the entry of the same incarnation may come back. */
type RemovedEndpoint = {
	readonly startedAt: number;
	isLeaving: boolean;
	readonly backOffUntil: number;
	/** Time of the removal. */
	readonly at: number;
};

/** Endpoints listed in the platform's store, with one upstream for each incarnation. */
export class EndpointSet {
	readonly #upstreams = new Map<string, Upstream>();
	readonly #byKey = new Map<number, Upstream>();
	readonly #demands = new Map<string, ServiceDemand>();
	readonly #losses = new Map<string, EngineLosses>();
	/** Time until which an endpoint is used although its entry is missing, by id. */
	readonly #missingUntil = new Map<string, number>();
	/** Removed endpoints by key, the oldest first. */
	readonly #removedEndpoints = new Map<number, RemovedEndpoint>();
	/** Version of the store up to which entries come from an older backup. */
	#restoredVersion = Number.NEGATIVE_INFINITY;
	readonly #onDidAdd = new Emitter<Upstream>();
	readonly #onDidRemove = new Emitter<{
		upstream: Upstream;
		why: RemovalReason;
	}>();

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
	readonly onDidRemove = this.#onDidRemove.event;
	readonly onDidDrain = this.#onDidDrain.event;

	/** Endpoints of a service that take new requests. */
	serving(service: string, now: number): Upstream[] {
		this.#removeExpired(now);
		const serving: Upstream[] = [];
		for (const upstream of this.#upstreams.values()) {
			if (upstream.listed.service === service && !upstream.isLeaving) {
				serving.push(upstream);
			}
		}

		return serving;
	}

	/** Demand by the recent requests to a service: their tiers, objectives and lengths. */
	demand(service: string): ServiceDemand {
		let demand = this.#demands.get(service);
		if (!demand) {
			demand = new ServiceDemand();
			this.#demands.set(service, demand);
		}

		return demand;
	}

	/** Assumes until a time that all routes are in use, for a gateway that has seen few requests. */
	assumeObjectives(
		routes: ReadonlyArray<Pick<Route, 'objectiveMs' | 'targets'>>,
		until: number,
	): void {
		const objectives = new Map<string, number>();
		for (const {objectiveMs, targets} of routes) {
			for (const {service} of targets) {
				const tightest = objectives.get(service) ?? objectiveMs;
				objectives.set(service, Math.min(tightest, objectiveMs));
			}
		}

		for (const [service, objectiveMs] of objectives) {
			this.demand(service).assumeObjective(objectiveMs, until);
		}
	}

	/** Answers lost at the endpoints of a service. */
	losses(service: string): EngineLosses {
		let losses = this.#losses.get(service);
		if (!losses) {
			losses = new EngineLosses();
			this.#losses.set(service, losses);
		}

		return losses;
	}

	/** Finds an endpoint by the key that gateways use in their messages. */
	byKey(key: number): Upstream | undefined {
		return this.#byKey.get(key);
	}

	has(upstream: Upstream): boolean {
		return this.#upstreams.get(upstream.id) === upstream;
	}

	/** Whether an endpoint that was chosen earlier still takes a request: it may be leaving, removed, ejected or backing off by now. */
	canTakeRequests(upstream: Upstream, now: number): boolean {
		return (
			this.has(upstream) &&
			!upstream.isLeaving &&
			upstream.unavailableMs(now) === 0
		);
	}

	/** Called when the store was restored from an older backup: entries up to this version may belong to endpoints that were removed since. */
	restored(upTo: number): void {
		this.#restoredVersion = upTo;
	}

	/** Records that an endpoint takes no new requests. Returns whether this was not known before. */
	markLeaving(upstream: Upstream): boolean {
		const isNewlyLeaving = !upstream.isLeaving;
		upstream.leave();
		if (!this.has(upstream)) {
			this.#markRemovedLeaving(upstream.key, startOf(upstream.listed));
		}

		return isNewlyLeaving;
	}

	/** Applies the leaving endpoints that another gateway reports; this only takes endpoints out of use. Returns those that were not known to be leaving. */
	applyLeavingEndpoints(notices: readonly LeavingEndpoint[]): Upstream[] {
		return notices.flatMap(({endpoint, startedAt}) => {
			const upstream = this.#byKey.get(endpoint);
			if (!upstream) {
				this.#markRemovedLeaving(endpoint, startedAt);
			}

			return upstream &&
				startOf(upstream.listed) === startedAt &&
				this.markLeaving(upstream)
				? [upstream]
				: [];
		});
	}

	/** Endpoints that are leaving or were recently removed, to report to the other gateways. */
	leavingEndpoints(now: number): LeavingEndpoint[] {
		const listed = [...this.#upstreams.values()]
			.filter(({isLeaving}) => isLeaving)
			.map(({key, listed}) => ({endpoint: key, startedAt: startOf(listed)}));
		const removed = [...this.#removedEndpoints]
			.filter(([, {isLeaving, at}]) => isLeaving && now - at < leavingNoticeMs)
			.map(([endpoint, {startedAt}]) => ({endpoint, startedAt}));
		return [...listed, ...removed];
	}

	/** Applies the whole list. Endpoints whose entries are missing are used until `keepMissingUntil`. */
	replace(
		changes: readonly EndpointChange[],
		now: number,
		keepMissingUntil: number,
	): void {
		const listedIds = new Set<string>();
		for (const change of changes) {
			listedIds.add(change.type === 'listed' ? change.endpoint.id : change.id);
			this.apply(change, now);
		}

		for (const id of this.#upstreams.keys()) {
			if (listedIds.has(id)) {
				this.#missingUntil.delete(id);
			} else if (now < keepMissingUntil) {
				this.#missingUntil.set(id, keepMissingUntil);
			} else if (!this.#missingUntil.has(id)) {
				this.#remove(id, 'removed', now);
			}
		}

		this.#removeExpired(now);
	}

	apply(change: EndpointChange, now: number): void {
		switch (change.type) {
			case 'listed': {
				this.#applyListed(change.endpoint, change.version, now);
				break;
			}

			case 'removed': {
				this.#remove(change.id, 'removed', now);
				break;
			}

			case 'unreadable': {
				this.#remove(change.id, 'unreadable', now);
				break;
			}
		}
	}

	/** Applies the prefills that another gateway reports as begun or done. */
	applyPrefillNotices(notices: readonly PrefillNotice[], now: number): void {
		for (const {endpoint, hash, tokens, isDone} of notices) {
			const prefixIndex = this.#byKey.get(endpoint)?.prefixIndex;
			const links = [{hash, tokens}];
			if (isDone) {
				prefixIndex?.read(links);
			} else {
				prefixIndex?.begin(links, now);
			}
		}
	}

	/** Applies the prefill backlogs reported by the gateway that owns the engines. */
	applyOwnedBacklogs(backlogs: readonly OwnedBacklog[], now: number): void {
		for (const {endpoint, ...backlog} of backlogs) {
			this.#byKey.get(endpoint)?.plan.overwrite(backlog, now);
		}
	}

	/** This gateway's recent probes of ejected endpoints, for the other gateways. */
	healthNotices(now: number): HealthNotice[] {
		return this.all().flatMap(({key, listed, health}) => {
			const notice = health.probeNotice(now);
			return notice
				? [{endpoint: key, startedAt: startOf(listed), ...notice}]
				: [];
		});
	}

	/** Applies another gateway's recent probes. */
	applyHealthNotices(notices: readonly HealthNotice[], now: number): void {
		for (const {endpoint, startedAt, ...notice} of notices) {
			const upstream = this.#byKey.get(endpoint);
			if (upstream && startOf(upstream.listed) === startedAt) {
				upstream.health.applyProbeNotice(notice, now);
			}
		}
	}

	/** Digest of all entries, independent of their order; two gateways with the same digest use the same endpoints. */
	digest(): number {
		let digest = 0;
		for (const {listed} of this.#upstreams.values()) {
			const {id, service, address, isDraining, startedAt} = listed;
			const text = `${id} ${service} ${address} ${isDraining} ${startedAt}`;
			digest = (digest + hash32(text)) % digestRange;
		}

		return digest;
	}

	/** All endpoints, including those that take no new requests. */
	all(): Upstream[] {
		return [...this.#upstreams.values()];
	}

	#applyListed(endpoint: ListedEndpoint, version: number, now: number): void {
		if (version <= this.#restoredVersion && this.#isObsolete(endpoint)) {
			return;
		}

		this.#missingUntil.delete(endpoint.id);
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

		this.#remove(endpoint.id, 'restarted', now);
		const service = this.#serviceOf(endpoint.service);
		const upstream = new Upstream(
			endpoint,
			now,
			service,
			this.#peers,
			this.demand(endpoint.service),
		);
		this.#restoreState(upstream);
		this.#upstreams.set(endpoint.id, upstream);
		this.#byKey.set(upstream.key, upstream);
		this.#onDidAdd.fire(upstream);
	}

	/** Whether an entry from an older backup belongs to an incarnation that was removed or replaced by a later one. */
	#isObsolete(endpoint: ListedEndpoint): boolean {
		const known = this.#upstreams.get(endpoint.id);
		if (known) {
			return startOf(endpoint) < startOf(known.listed);
		}

		const removed = this.#removedEndpoints.get(hash32(endpoint.id));
		return removed !== undefined && startOf(endpoint) <= removed.startedAt;
	}

	/** Restores the state of an incarnation whose entry has come back. */
	#restoreState(upstream: Upstream): void {
		const removed = this.#removedEndpoints.get(upstream.key);
		if (removed?.startedAt === startOf(upstream.listed)) {
			upstream.backOff(removed.backOffUntil);
			if (removed.isLeaving) {
				upstream.leave();
			}
		}
	}

	#rememberRemoved(upstream: Upstream, now: number): void {
		const {key, listed, isLeaving, backOffUntil} = upstream;
		this.#removedEndpoints.delete(key);
		this.#removedEndpoints.set(key, {
			startedAt: startOf(listed),
			isLeaving,
			backOffUntil,
			at: now,
		});
		const [oldest] = this.#removedEndpoints.keys();
		if (this.#removedEndpoints.size > maxRemoved) {
			this.#removedEndpoints.delete(oldest!);
		}
	}

	/** Keeps the announcement of an incarnation whose entry is missing, for the case that it comes back. */
	#markRemovedLeaving(key: number, startedAt: number): void {
		const removed = this.#removedEndpoints.get(key);
		if (removed?.startedAt === startedAt) {
			removed.isLeaving = true;
		}
	}

	#removeExpired(now: number): void {
		for (const [id, until] of this.#missingUntil) {
			if (now >= until) {
				this.#remove(id, 'lapsed', now);
			}
		}
	}

	#remove(id: string, why: RemovalReason, now: number): void {
		this.#missingUntil.delete(id);
		const upstream = this.#upstreams.get(id);
		if (upstream) {
			this.#upstreams.delete(id);
			this.#byKey.delete(upstream.key);
			this.#rememberRemoved(upstream, now);
			this.#onDidRemove.fire({upstream, why});
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

/** Start of an incarnation, to compare incarnations of one id; 0 when unknown. */
function startOf({startedAt}: ListedEndpoint): number {
	return startedAt ?? 0;
}
