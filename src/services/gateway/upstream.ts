import {hash32} from '../../base/index.js';
import type {
	ListedEndpoint,
	KvTransfer,
	Service,
	ReportedLoad,
} from '../../interfaces/index.js';
import {CapacityClaims} from './capacity-claims.js';
import {EndpointPace, type Expectation} from './endpoint-pace.js';
import type {ConnectionUse} from './idle-connections.js';
import {KvCacheUsage} from './kv-cache-usage.js';
import {Health} from './health.js';
import {maxPauseMs} from './liveness.js';
import {minServerErrorStatus, type SendEnd} from './next-step.js';
import type {PeerLoads} from './peer-loads.js';
import {PrefixIndex, type PrefixLink} from './prefix-index.js';
import {PrefillEstimate} from './prefill-estimate.js';
import {ServiceDemand} from './service-demand.js';

/** Time in which the load of other gateways that an endpoint reported decays to a third, in milliseconds: about the duration of an answer. */
const reportedLoadDecayMs = 1500;

/** Time without data from an endpoint with answers in progress after which it gets no new requests, in milliseconds: several times the time between two events of a loaded engine. */
const suspectMs = 250;

/** A request of this gateway that is in progress at an endpoint. */
export type ActiveRequest = {
	/** Prompt tokens that the engine has to prefill. */
	readonly uncachedTokens: number;
	/** Whether the engine has prefilled the prompt and begun to answer. */
	hasAnswered: boolean;
	/** Pace of the endpoint by which its answer was expected. */
	readonly expectation: Expectation;
};

/** State of one incarnation of an endpoint, as last known to this gateway. */
export class Upstream {
	readonly health = new Health();
	readonly prefixIndex: PrefixIndex;
	/** Estimate of its prefill backlog, from the prompts for which capacity was reserved. */
	readonly plan = new PrefillEstimate();
	/** Requests that wait for its next free capacity. */
	readonly claims = new CapacityClaims();
	/** Whether this gateway has an open connection for a use; without knowledge none is preferred for it. */
	hasIdleConnection: (use: ConnectionUse) => boolean = () => true;
	/** How fast it works. */
	readonly pace = new EndpointPace();
	/** Number of tokens in one event of its streams. */
	readonly eventTokens: number;
	/** How it copies cached prompt parts from other engines; undefined when it does not. */
	readonly transfer: KvTransfer | undefined;
	/** Connections that it accepts from all gateways together. */
	readonly maxConnections: number;
	/** Estimated use of its KV cache; undefined for plain services. */
	readonly kvCacheUsage: KvCacheUsage | undefined;
	/** Hash of its id, for messages between gateways. A collision only makes both endpoints seem busier than they are. */
	readonly key: number;
	readonly #activeRequests = new Set<ActiveRequest>();
	readonly #peers: PeerLoads;
	#reportedLoad:
		{load: ReportedLoad; ownRunning: number; at: number} | undefined;

	#lastReceivedAt = 0;
	#lastCheckedAliveAt = 0;
	#listedAliveAt = Number.NEGATIVE_INFINITY;
	#reservingTokens = 0;
	#ownUnreadTokens = 0;
	/** Requests whose answers are in progress. */
	#answering = 0;
	#suspendedUntil = Number.NEGATIVE_INFINITY;
	#backOffUntil = Number.NEGATIVE_INFINITY;
	#rateLimitedUntil = Number.NEGATIVE_INFINITY;
	#isLeaving = false;

	constructor(
		/** Its latest entry in the store's list. */
		public listed: ListedEndpoint,
		readonly firstSeenAt: number,
		service: Service | undefined,
		peers: PeerLoads,
		/** Demand by the recent requests to its service. */
		readonly demand = new ServiceDemand(),
	) {
		this.#peers = peers;
		this.key = hash32(listed.id);
		this.maxConnections = service?.maxConnections ?? Number.POSITIVE_INFINITY;
		this.kvCacheUsage = service?.engine && new KvCacheUsage();
		this.transfer = service?.engine?.transfer;
		this.eventTokens = service?.engine?.eventTokens ?? 1;
		this.prefixIndex = new PrefixIndex(service?.engine?.kvTokens ?? 0);
	}

	get id(): string {
		return this.listed.id;
	}

	/** Whether it takes no new requests, for good, as stated by its entry or one of its answers. A later entry without that mark was written earlier, or comes from an older backup of the store. */
	get isLeaving(): boolean {
		return this.#isLeaving || this.listed.isDraining;
	}

	/** Marks it as leaving; this cannot be undone. */
	leave(): void {
		this.#isLeaving = true;
	}

	/** Time until which its Retry-After asks for no requests from this gateway. */
	get backOffUntil(): number {
		return this.#backOffUntil;
	}

	/** Records until when its Retry-After asks for no requests; the latest such time counts. */
	backOff(until: number): void {
		this.#backOffUntil = Math.max(this.#backOffUntil, until);
	}

	/** Time until its ejection and its Retry-After allow a request, in milliseconds. */
	unavailableMs(now: number): number {
		return Math.max(this.health.blockedMs(now), this.#backOffUntil - now, 0);
	}

	/** Stops requests from being sent there until the given time, because all gateways together have used its request limit. */
	limitRate(until: number): void {
		this.#rateLimitedUntil = until;
	}

	/** Time until its request limit may allow a request again, in milliseconds. */
	rateLimitedMs(now: number): number {
		return Math.max(0, this.#rateLimitedUntil - now);
	}

	/** Whether it sends no data in the middle of answers: it may be down or cut off. When all endpoints are suspect at once, the cause is this gateway's own connection. */
	isSuspect(now: number): boolean {
		return this.#answering > 0 && now - this.#lastReceivedAt > suspectMs;
	}

	/** Requests of this gateway in progress. */
	get ownRunning(): number {
		return this.#activeRequests.size;
	}

	/** Time at which data was last received from the endpoint. */
	get lastReceivedAt(): number {
		return this.#lastReceivedAt;
	}

	recordDataReceived(now: number): void {
		this.#lastReceivedAt = now;
	}

	/** Time at which it last sent data or a check found it alive. A busy endpoint may send no data for long, which is no silence as long as it answers checks. */
	get lastAliveAt(): number {
		return Math.max(this.#lastReceivedAt, this.#lastCheckedAliveAt);
	}

	/** Latest time at which a probe was sent that the listed incarnation has answered. */
	get listedAliveAt(): number {
		return this.#listedAliveAt;
	}

	recordListedAlive(probedAt: number): void {
		this.#listedAliveAt = Math.max(this.#listedAliveAt, probedAt);
	}

	recordCheckedAlive(now: number): void {
		this.#lastCheckedAliveAt = now;
	}

	/** Records that a check has found it silent for longer than an endpoint that pauses: it gets no new requests for a time. */
	recordCheckedSilent(now: number): void {
		this.health.block(now);
	}

	begin(
		links: readonly PrefixLink[],
		uncachedTokens: number,
		now: number,
	): ActiveRequest {
		const request = {
			uncachedTokens,
			hasAnswered: false,
			expectation: this.pace.expectation(now),
		};
		this.#activeRequests.add(request);
		this.#ownUnreadTokens += uncachedTokens;
		this.prefixIndex.begin(links, now);
		return request;
	}

	/** Records that the engine has prefilled the prompt of a request and has begun to answer. */
	answered(request: ActiveRequest, links: readonly PrefixLink[]): void {
		if (!request.hasAnswered && this.#activeRequests.has(request)) {
			this.#answering++;
		}

		this.#markPrefilled(request);
		this.prefixIndex.read(links);
	}

	end(request: ActiveRequest): void {
		if (this.#activeRequests.delete(request)) {
			this.#answering -= Number(request.hasAnswered);
			this.#markPrefilled(request);
		}
	}

	#markPrefilled(request: ActiveRequest): void {
		if (!request.hasAnswered) {
			request.hasAnswered = true;
			this.#ownUnreadTokens -= request.uncachedTokens;
		}
	}

	/** Updates the endpoint's health by the end of a send. */
	ended(end: SendEnd, startedAt: number, now: number): void {
		switch (end.type) {
			case 'unsent': {
				// A lost first packet fails a connection to a sound endpoint.
				if (this.lastAliveAt > startedAt) {
					this.health.failed(now);
				} else {
					this.health.block(now);
				}

				break;
			}

			case 'silent':
			case 'gone': {
				this.health.block(now);
				break;
			}

			case 'answered': {
				if (end.status < minServerErrorStatus) {
					this.health.succeeded(now);
				} else {
					this.health.failed(now);
				}

				break;
			}

			case 'delivered': {
				this.health.succeeded(now);
				break;
			}

			case 'rejected':
			case 'broken': {
				this.health.failed(now);
				break;
			}

			case 'moved': {
				const silentSince = Math.max(startedAt, this.lastAliveAt);
				if (now - silentSince >= maxPauseMs) {
					this.health.block(now);
				} else {
					this.health.failed(now);
				}

				break;
			}

			case 'superseded':
			case 'withdrawn':
			case 'expired':
			case 'abandoned': {
				break;
			}
		}
	}

	/** Records the load that the endpoint states in an answer. */
	recordReportedLoad(load: ReportedLoad, now: number): void {
		this.#reportedLoad = {load, ownRunning: this.ownRunning, at: now};
		this.pace.recordSlowdown(load, now);
	}

	/** Adds a sample of the time to the first byte, observed and expected in milliseconds; `expectation` is what the expected time includes. */
	addFirstByteSample(
		observedMs: number,
		expectedMs: number,
		now: number,
		expectation?: Expectation,
	): void {
		this.pace.addFirstByteSample(observedMs, expectedMs, now, expectation);
	}

	/** Ratio of observed to expected times. */
	slowness(now: number): number {
		return this.pace.slowness(now);
	}

	/** Age of what is known of its load by other gateways, in milliseconds: no more than a second where they report from its data centre, else that of its last data. */
	loadAgeMs(now: number): number {
		if (this.#peers.hears(this.listed.dataCentre, now)) {
			return 0;
		}

		return this.#lastReceivedAt > 0
			? now - this.#lastReceivedAt
			: Number.POSITIVE_INFINITY;
	}

	/** Requests in progress; those of other gateways as these report or the endpoint states them. */
	running(now: number): number {
		return this.ownRunning + this.#runningElsewhere(now);
	}

	/** Counts a prompt for which this gateway requests a reservation, until `endReservation`. */
	beginReservation(uncachedTokens: number): void {
		this.#reservingTokens += uncachedTokens;
	}

	endReservation(uncachedTokens: number): void {
		this.#reservingTokens -= uncachedTokens;
	}

	/** Stops prompts from being sent there until the given time, because the engine is full or the request for a reservation was not answered. */
	suspendReservations(until: number): void {
		this.#suspendedUntil = until;
	}

	/** Time until prompts are sent there again, in milliseconds. */
	suspendedMs(now: number): number {
		return Math.max(0, this.#suspendedUntil - now);
	}

	/** Prompt tokens that await prefill, including those of other gateways and of pending reservation requests. */
	unreadTokens(now: number): number {
		return (
			this.ownUnreadTokens() +
			this.#reservingTokens +
			this.#peers.at(this.key, now).unreadTokens
		);
	}

	/** Prompt tokens of this gateway's requests that await prefill. */
	ownUnreadTokens(): number {
		return this.#ownUnreadTokens;
	}

	/** Requests in progress that are not of this gateway. Reports of peers are frequent but cover gateways only, so they come first; the load that the endpoint states covers everything but is older. */
	#runningElsewhere(now: number): number {
		if (this.#peers.count(now) > 0 || !this.#reportedLoad) {
			return this.#peers.at(this.key, now).running;
		}

		const {load, ownRunning, at} = this.#reportedLoad;
		const others = Math.max(0, load.running + load.waiting - ownRunning);
		return others * Math.exp((at - now) / reportedLoadDecayMs);
	}
}
