import {hash32, mix32} from '../../base/index.js';
import type {EndpointSet} from './endpoint-set.js';
import type {OwnedBacklog, PeerLoads, Reservation} from './peer-loads.js';
import {
	freeSlots,
	hasFreeSlot,
	prefillBacklog,
	timeToCapacityMs,
	timeToFreeMs,
} from './placement.js';
import type {Backlog} from './prefill-estimate.js';
import {RateLimits} from './rate-limits.js';
import type {Upstream} from './upstream.js';

/** Minimum prompt tokens for which capacity is always reserved at the owner; smaller prompts are prefilled before its reply matters. */
const minReservationTokens = 500;

/** Time in milliseconds until a gateway requests capacity at an engine again after its owner did not reply: a network path takes 1 ms. */
const unansweredBackoffMs = 40;

/** Time in milliseconds until a gateway requests capacity again at an engine whose slots or KV cache are full: answers that end free them. */
const fullBackoffMs = 150;

/** Request of one gateway to the owner of an engine to reserve capacity for a prompt. */
export type ReservationRequest = Reservation & {
	/** Rank in which the request gets capacity, 0 first. */
	readonly rank: number;
	/** Tokens of the KV cache that the request needs. */
	readonly kvCacheTokens: number;
};

/** Capacity that a request needs at an engine. */
export type ReservationNeed = {
	/** Prompt tokens that the engine has to prefill. */
	readonly uncachedTokens: number;
	/** Tokens of the KV cache that the request needs. */
	readonly kvCacheTokens: number;
	/** Rank in which the request gets capacity, 0 first. */
	readonly rank: number;
};

/** Result of a request for capacity. */
export type ReservationResult =
	| {readonly type: 'granted'}
	/** The prefill backlog is too long, or more urgent requests have claimed the capacity. */
	| {readonly type: 'denied'; readonly backlog: Backlog}
	/** The engine's slots are taken, or its KV cache is full. */
	| {readonly type: 'full'}
	/** The request limit that the endpoint names is used up. */
	| {readonly type: 'limited'; readonly retryAfterMs: number}
	/** The owner did not reply in time. */
	| {readonly type: 'unanswered'};

/** Rank that may use most of an engine's slots. */
const mostUrgentRank = 0;

const granted = {type: 'granted'} as const;

/**
 * Reserves capacity at the engines that this gateway owns. Each engine has one
 * owner, chosen by rendezvous hashing among the gateways with recent reports,
 * so decisions are spread evenly and need no election. Needed near capacity
 * with many gateways: from reports alone, all of them would see the same engine
 * free at the same time and overfill it several times.
 */
export class EngineReservations {
	/** Hash of this gateway's name. */
	readonly #ownHash: number;
	readonly #endpoints: EndpointSet;
	readonly #loads: PeerLoads;
	readonly #rateLimits: RateLimits;

	constructor(
		gateway: string,
		endpoints: EndpointSet,
		loads: PeerLoads,
		rateLimits = new RateLimits(),
	) {
		this.#ownHash = hash32(gateway);
		this.#endpoints = endpoints;
		this.#loads = loads;
		this.#rateLimits = rateLimits;
	}

	/** Name of the gateway that owns an endpoint; undefined if this one does, or if the request needs no reservation there. */
	owner(
		upstream: Upstream,
		uncachedTokens: number,
		now: number,
	): string | undefined {
		return uncachedTokens >= minReservationTokens ||
			this.#rateLimits.perSecond(upstream.key) !== undefined ||
			this.#isAlmostFull(upstream, now)
			? this.ownerOf(upstream, now)
			: undefined;
	}

	/** Whether the other gateways could take the last slots of an engine with one request each before their next reports. */
	#isAlmostFull(upstream: Upstream, now: number): boolean {
		return (
			upstream.kvCacheUsage !== undefined &&
			freeSlots(upstream, mostUrgentRank, now) <= this.#loads.count(now)
		);
	}

	/** Name of the gateway that owns an engine; undefined if this one does. */
	ownerOf(upstream: Upstream, now: number): string | undefined {
		let owner: string | undefined;
		let bestScore = mix32(this.#ownHash, upstream.key);
		for (const [name, hash] of this.#loads.nameHashes(now)) {
			const score = mix32(hash, upstream.key);
			if (score > bestScore) {
				owner = name;
				bestScore = score;
			}
		}

		return owner;
	}

	/** Handles a reservation request of another gateway, and counts what it grants. For an engine that is not listed here yet it grants every request within the request limit, so that the other gateway's own estimate decides. */
	decide(
		request: ReservationRequest,
		now: number,
	): Exclude<ReservationResult, {type: 'unanswered'}> {
		const upstream = this.#endpoints.byKey(request.endpoint);
		const result = upstream
			? this.#reserve(
					upstream,
					{...request, uncachedTokens: request.unreadTokens},
					request.gateway,
					now,
				)
			: this.#takeRequest(request.endpoint, request.gateway, now);
		if (result.type === 'granted') {
			this.#loads.reserve(request, now);
		}

		return result;
	}

	/** Reserves capacity for a request of this gateway at an endpoint that it owns, or returns why there is none. */
	reserve(
		upstream: Upstream,
		need: ReservationNeed,
		now: number,
	): Exclude<ReservationResult, {type: 'unanswered'}> {
		return this.#reserve(upstream, need, undefined, now);
	}

	/** Reserves capacity for a request of another gateway, or of this one when that is undefined. */
	#reserve(
		upstream: Upstream,
		{uncachedTokens, kvCacheTokens, rank}: ReservationNeed,
		gateway: string | undefined,
		now: number,
	): Exclude<ReservationResult, {type: 'unanswered'}> {
		if (timeToCapacityMs(upstream, rank, uncachedTokens, now) > 0) {
			const freeInMs = timeToFreeMs(upstream, rank, uncachedTokens, now);
			upstream.claims.add(rank, freeInMs, now);
			return {type: 'denied', backlog: prefillBacklog(upstream, now)};
		}

		const {kvCacheUsage} = upstream;
		if (
			kvCacheUsage &&
			!(
				hasFreeSlot(upstream, rank, now) &&
				kvCacheUsage.hasCapacityFor(kvCacheTokens, rank, now)
			)
		) {
			upstream.claims.add(rank, fullBackoffMs, now);
			return {type: 'full'};
		}

		const result = this.#takeRequest(upstream.key, gateway, now);
		if (result.type === 'limited') {
			return result;
		}

		kvCacheUsage?.reserve(kvCacheTokens, now);
		this.#addPrefill(upstream, uncachedTokens, now);
		return granted;
	}

	#takeRequest(
		endpoint: number,
		gateway: string | undefined,
		now: number,
	): Extract<ReservationResult, {type: 'granted' | 'limited'}> {
		const retryAfterMs = this.#rateLimits.take(endpoint, gateway, now);
		return retryAfterMs > 0 ? {type: 'limited', retryAfterMs} : granted;
	}

	/** Whether this gateway owns an engine. */
	owns(upstream: Upstream, now: number): boolean {
		return this.ownerOf(upstream, now) === undefined;
	}

	/** Prefill backlogs of the engines that this gateway owns, for its reports; engines without a backlog are left out. */
	kept(now: number): OwnedBacklog[] {
		return this.#endpoints
			.all()
			.map((upstream) => ({upstream, backlog: prefillBacklog(upstream, now)}))
			.filter(
				({upstream, backlog}) =>
					backlog.pacedMs > 0 && this.owns(upstream, now),
			)
			.map(({upstream, backlog}) => ({endpoint: upstream.key, ...backlog}));
	}

	/**
	 * Applies the owner's reply to the state of the engine, for later requests
	 * as well, and returns whether the prompt is sent there. Without a reply it
	 * is sent only to an engine that seems idle, because other gateways may send
	 * there at the same time without being seen here.
	 */
	applyResult(
		upstream: Upstream,
		uncachedTokens: number,
		result: ReservationResult,
		now: number,
		rank = mostUrgentRank,
	): boolean {
		switch (result.type) {
			case 'granted': {
				this.#rateLimits.recordGranted(upstream.key, now);
				this.#addPrefill(upstream, uncachedTokens, now);
				return true;
			}

			case 'limited': {
				upstream.limitRate(now + result.retryAfterMs);
				return false;
			}

			case 'denied': {
				upstream.plan.overwrite(result.backlog, now);
				if (timeToFreeMs(upstream, rank, uncachedTokens, now) <= 0) {
					upstream.claims.keepBack(rank, now);
				}

				return false;
			}

			case 'full': {
				upstream.suspendReservations(now + fullBackoffMs);
				return false;
			}

			case 'unanswered': {
				if (this.#rateLimits.perSecond(upstream.key) !== undefined) {
					upstream.limitRate(now + unansweredBackoffMs);
					return false;
				}

				if (
					upstream.unreadTokens(now) === 0 &&
					!this.#isAlmostFull(upstream, now)
				) {
					return true;
				}

				upstream.suspendReservations(now + unansweredBackoffMs);
				return false;
			}
		}
	}

	#addPrefill(upstream: Upstream, uncachedTokens: number, now: number): void {
		upstream.plan.add(
			uncachedTokens,
			{
				tokenMs: upstream.demand.tokenMs(now),
				stepMs: upstream.pace.stepMs(now),
				slowness: upstream.pace.prefillFactor(now),
			},
			now,
		);
	}
}
