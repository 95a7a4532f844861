import {crc32} from 'node:zlib';
import {
	capacityOutlook,
	claimCapacity,
	contendingRequest,
	hasFreeSlot,
	place,
	prefixLinks,
	requestFingerprints,
	resumedRank,
	stoppingRefusal,
	timeToCapacityMs,
	type ActiveRequest,
	type Assignment,
	type CapacityOutlook,
	type ContendingRequest,
	type PrefixLink,
	type QueuedRequest,
	type ReservationNeed,
	type Upstream,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerRequest, ExchangeContext} from './exchange-context.js';
import type {Connection} from './connection-pool.js';
import type {PeerAddress} from './peer-freshness.js';

/** Fraction of its latency objective after which a request that could not be placed is refused. */
const maxWaitObjectiveFraction = 1;

/** Fraction of its latency objective after which a waiting request is unlikely to meet it: an engine near capacity needs the remaining time to produce the first token. */
const lateObjectiveFraction = 0.5;

/** Maximum wait for the placement of a retry, in milliseconds: the caller may have part of the response and gives up after some seconds without more. */
const maxRetryWaitMs = 1500;

/** Upper bounds of Retry-After when there was no capacity, in milliseconds and as a fraction of the remaining time: bursts last for seconds, and a caller should not wait for more than a third of its time. */
const maxNoCapacityRetryAfterMs = 3000;
const maxNoCapacityRetryAfterFraction = 1 / 3;

/** Interval at which a waiting request checks whether it may still get capacity, in milliseconds: each check takes processor time for every endpoint. */
const outlookIntervalMs = 100;

/** Reason of a refusal for lack of capacity. */
export const noCapacityReason = 'no room in time';

/** Reason of a refusal because the request or a part of its prompt crashes endpoints. */
export const withheldReason = 'request crashes servers';

type Refusal = Extract<Assignment, {type: 'refuse'}>;

/** Endpoint chosen for a request that is not registered there yet. */
export type PlaceAssignment = Extract<Assignment, {type: 'send'}>;

/** Endpoint chosen for a request, with the request as registered there. */
export type PlacedRequest = {
	readonly type: 'send';
	readonly upstream: Upstream;
	readonly expectedMs: number;
	readonly donor: Upstream | undefined;
	readonly activeRequest: ActiveRequest;
	/** Engine that resumes the run from its replica of the KV cache; absent when the request runs from the start. */
	readonly resumeUpstream?: Upstream;
	/** Connection that was opened for the request; absent when its send acquires one. */
	readonly connection?: Connection;
};

/** State of a request that its placement depends on. */
export type PlacementState = {
	/** Sends that may have reached an endpoint. */
	readonly sends: number;
	/** At least one of them may have run. */
	readonly mayHaveRun: boolean;
	/** The caller has a part of the answer. */
	readonly hasAnswer: boolean;
	readonly isAbandoned: boolean;
	/** Time at which the request expires, on the monotonic clock, in milliseconds. */
	readonly expiresAt: number;
};

/** Chooses endpoints for one request and waits until they have capacity for it. */
export class RequestPlacement {
	/** Hash chain of the prompt's parts. */
	readonly links: readonly PrefixLink[];
	/** Stand for the parts of its prompt, and the last one for the request and its repetitions. */
	readonly fingerprints: readonly number[];
	/** Number of times that the gateway which owns an endpoint (this one or a peer, by rendezvous hash) denied capacity there. */
	denials = 0;
	/** Time from arrival to the first placement, in milliseconds. */
	waitedMs = 0;
	readonly #context: ExchangeContext;
	readonly #request: CallerRequest;
	readonly #state: () => PlacementState;
	readonly #tried = new Set<Upstream>();
	readonly #contending: ContendingRequest;
	#lastOutlookAt = Number.NEGATIVE_INFINITY;

	constructor(
		context: ExchangeContext,
		request: CallerRequest,
		state: () => PlacementState,
	) {
		this.#context = context;
		this.#request = request;
		this.#state = state;
		const {method, target, body, route, service, workspace} = request;
		const {head, namedParts} = request;
		const {parts = []} = head.prompt ?? {};
		this.links = prefixLinks(parts);
		this.fingerprints = requestFingerprints({
			method,
			host: route.host,
			target,
			workspace: workspace?.name,
			bodyLength: body.length,
			bodyChecksum: crc32(body),
			parts: service.engine ? namedParts : [],
		});
		this.#contending = contendingRequest(
			service.name,
			this.requestedTier,
			workspace?.name,
			// Callers of plain services may send equal requests that are no repetitions.
			service.engine && parts.length > 0 ? this.fingerprints.at(-1) : undefined,
		);
	}

	/** Queues the request until it is placed, refused or abandoned. */
	async wait(): Promise<PlacedRequest | Refusal | {type: 'abandoned'}> {
		const {queue, peers} = this.#context;
		const {route, receivedAt} = this.#request;
		const isFirstSend = this.#state().sends === 0;
		const lateAt = isFirstSend
			? receivedAt + route.objectiveMs * lateObjectiveFraction
			: Number.POSITIVE_INFINITY;
		const waitUntil = Math.min(
			this.#state().expiresAt,
			isFirstSend
				? receivedAt + route.objectiveMs * maxWaitObjectiveFraction
				: monotonicNow() + maxRetryWaitMs,
		);
		return new Promise((resolve, reject) => {
			const queuedRequest: QueuedRequest = {
				rank: this.#rank,
				arrivedAt: receivedAt,
				lateAt,
				tryPlace: (now) => {
					queuedRequest.rank = this.#rank;
					if (this.#state().isAbandoned) {
						resolve({type: 'abandoned'});
						return true;
					}

					const assignment =
						this.#refusedByDrain(now) ??
						this.#expired(now) ??
						this.#heldBack(now) ??
						this.#place(now);
					switch (assignment.type) {
						case 'send': {
							const {upstream, uncachedTokens} = assignment;
							if (isFirstSend && this.#beginsTooLate(assignment, now)) {
								resolve(noCapacity(this.#returnInMs(waitUntil, now)));
								return true;
							}

							const owner = peers.owner(upstream, uncachedTokens);
							if (owner) {
								this.#requestReservation(owner, assignment)
									.then((placement) => {
										if (placement) {
											resolve(placement);
										} else {
											queue.submit(queuedRequest);
										}
									})
									.catch(reject);
								return true;
							}

							if (
								!peers.reserve(upstream, this.#reservationNeed(uncachedTokens))
							) {
								this.denials++;
								this.#recordWait(now);
								return false;
							}

							const placement = this.registerPlacement(assignment);
							if (placement) {
								resolve(placement);
							}

							return placement !== undefined;
						}

						case 'refuse': {
							resolve(assignment);
							return true;
						}

						case 'wait': {
							this.#recordWait(now);
							if (
								now < waitUntil &&
								!(isFirstSend && this.#isHopeless(waitUntil, now))
							) {
								this.#claimCapacity(now);
								return false;
							}

							resolve(noCapacity(this.#returnInMs(waitUntil, now)));
							return true;
						}
					}
				},
			};
			queue.submit(queuedRequest);
		});
	}

	/** Whether the request certainly gets nothing before it stops waiting, so that its caller is told now. */
	#isHopeless(waitUntil: number, now: number): boolean {
		const isDue = now - this.#lastOutlookAt >= outlookIntervalMs;
		if (!isDue || !this.#context.contention.isEnabled) {
			return false;
		}

		this.#lastOutlookAt = now;
		const {isHopeless} = this.#outlook(waitUntil, now);
		if (isHopeless) {
			this.#context.metrics.refusedAtOnce(this.#request.route.name);
		}

		return isHopeless;
	}

	/** Whether the answer would begin after the deadline, while others wait for the capacity. */
	#beginsTooLate({expectedMs}: PlaceAssignment, now: number): boolean {
		const {service, head, route} = this.#request;
		const isTooLate =
			service.engine !== undefined &&
			head.prompt !== undefined &&
			this.#context.contention.isTooLate(
				this.#contending,
				expectedMs,
				this.#remainingMs(),
				now,
			);
		if (isTooLate) {
			this.#context.metrics.refusedAtOnce(route.name);
		}

		return isTooLate;
	}

	#outlook(waitUntil: number, now: number): CapacityOutlook {
		const {service, head} = this.#request;
		return capacityOutlook(
			{
				rank: this.#rank,
				links: service.engine && head.prompt ? this.links : [],
				waitMs: waitUntil - now,
				remainingMs: this.#remainingMs(),
			},
			this.#context.endpoints
				.serving(service.name, now)
				.filter((upstream) => !this.#tried.has(upstream)),
			now,
		);
	}

	/** Time after which the caller of a request that is refused for lack of capacity is to return, in milliseconds. */
	#returnInMs(waitUntil: number, now: number): number {
		const remainingMs = this.#remainingMs();
		const {freeInMs} = this.#outlook(waitUntil, now);
		return (
			this.#context.contention.refuse(
				this.#contending,
				{remainingMs, freeInMs},
				now,
			) ??
			Math.min(
				maxNoCapacityRetryAfterMs,
				remainingMs * maxNoCapacityRetryAfterFraction,
			)
		);
	}

	/** Chooses an endpoint that has not been tried, for a request in progress at a slow one; undefined when none has capacity now. */
	choose(): PlaceAssignment | undefined {
		const now = monotonicNow();
		const assignment =
			this.#isTooLate || !this.#mayBeSent(now) ? undefined : this.#place(now);
		return assignment?.type === 'send' ? assignment : undefined;
	}

	/** Resolves to whether capacity has been reserved at a chosen endpoint, by this gateway or by the one that owns it. */
	async reserve({upstream, uncachedTokens}: PlaceAssignment): Promise<boolean> {
		const {peers} = this.#context;
		const need = this.#reservationNeed(uncachedTokens);
		const owner = peers.owner(upstream, uncachedTokens);
		return owner
			? this.#requestCapacity(owner, upstream, need)
			: peers.reserve(upstream, need);
	}

	/** Whether capacity that was reserved earlier may still be used. */
	mayUse({upstream}: PlaceAssignment): boolean {
		const now = monotonicNow();
		return (
			!this.#isTooLate &&
			this.#mayBeSent(now) &&
			this.#context.endpoints.canTakeRequests(upstream, now)
		);
	}

	/** Whether no suspected fingerprint of the request forbids to send it now. */
	#mayBeSent(now: number): boolean {
		const {type} = this.#context.crashSuspects.check(this.fingerprints, now);
		return type === 'clear' || type === 'probe';
	}

	/** Requests a reservation from the gateway that owns the engine. Places the request if capacity was reserved and the request is still wanted. */
	async #requestReservation(
		owner: PeerAddress,
		assignment: PlaceAssignment,
	): Promise<PlacedRequest | undefined> {
		const {upstream, uncachedTokens} = assignment;
		const need = this.#reservationNeed(uncachedTokens);
		return (await this.#requestCapacity(owner, upstream, need))
			? this.registerPlacement(assignment)
			: undefined;
	}

	/** Resolves to whether the owner of an engine reserved capacity there and the request is still wanted. */
	async #requestCapacity(
		owner: PeerAddress,
		upstream: Upstream,
		need: ReservationNeed,
	): Promise<boolean> {
		const {peers, loopLag, endpoints} = this.#context;
		const isReserved = await peers.ask(owner, upstream, need);
		if (!isReserved) {
			this.denials++;
			this.#recordWait(monotonicNow());
		}

		// The caller or the endpoint may have left in the meantime.
		await loopLag.catchUp();
		return (
			isReserved &&
			!this.#isTooLate &&
			endpoints.canTakeRequests(upstream, monotonicNow())
		);
	}

	#reservationNeed(uncachedTokens: number): ReservationNeed {
		const {promptTokens = 0, outputTokens = 0} =
			this.#request.head.prompt ?? {};
		return {
			uncachedTokens,
			kvCacheTokens: promptTokens + outputTokens,
			rank: this.#rank,
		};
	}

	/** Registers a request at the endpoint where capacity has been reserved for it. Returns undefined when the request must not be sent any more: another one has begun to probe its fingerprints, or crashed an endpoint, since it was placed. */
	registerPlacement(assignment: PlaceAssignment): PlacedRequest | undefined {
		const {upstream, expectedMs, uncachedTokens, donor, home} = assignment;
		const {head} = this.#request;
		const now = monotonicNow();
		if (!this.#claimProbe(now)) {
			return undefined;
		}

		this.#tried.add(upstream);
		if (this.#state().sends === 0) {
			this.waitedMs = now - this.#request.receivedAt;
		}

		this.#context.log.info('placed', {
			request: head.requestId,
			route: this.#request.route.name,
			endpoint: upstream.id,
			tier: this.requestedTier,
			priority: this.#request.priority,
			rank: this.#rank,
			over_share: this.#context.contention.level(this.#contending, now),
			expected_ms: Math.round(expectedMs),
			waited_ms: Math.round(now - this.#request.receivedAt),
			denials: this.denials,
			shared_part: this.links.at(-2)?.hash ?? 0,
			home,
			copies_from: donor?.id ?? '',
			prompt_tokens: head.prompt?.promptTokens ?? 0,
			uncached_tokens: Math.round(uncachedTokens),
			unread_tokens: Math.round(upstream.unreadTokens(now)),
			running: Math.round(upstream.running(now) * 10) / 10,
			failing: Math.round(upstream.health.failingPart(now) * 100) / 100,
		});
		this.#recordGrant(uncachedTokens, now);
		const activeRequest = upstream.begin(this.links, uncachedTokens, now);
		if (upstream.health.isOnTrial) {
			upstream.health.beginProbe(now);
			this.#context.peers.notices.sendHealth();
		}

		this.#context.peers.queuePrefillNotices(
			upstream,
			this.links.slice(0, -1),
			false,
		);
		return {type: 'send', upstream, expectedMs, donor, activeRequest};
	}

	/** Refuses a request that would be sent too late in a stop; undefined when the gateway is not stopping or there is time. */
	#refusedByDrain(now: number): Refusal | undefined {
		const {route} = this.#request;
		const {expiresAt, mayHaveRun} = this.#state();
		const isAllowed = this.#context.drain()?.allowsSend(now, {
			...route,
			expiresAt,
			mayHaveRun,
		});
		return isAllowed === false
			? {type: 'refuse', ...stoppingRefusal}
			: undefined;
	}

	#expired(now: number): Refusal | undefined {
		return now >= this.#state().expiresAt ? noCapacity(0) : undefined;
	}

	/** Refuses a request that crashes endpoints, and holds one back while another probes its fingerprints; undefined when it may be placed. */
	#heldBack(
		now: number,
	): Refusal | Extract<Assignment, {type: 'wait'}> | undefined {
		const verdict = this.#context.crashSuspects.check(this.fingerprints, now);
		switch (verdict.type) {
			case 'clear':
			case 'probe': {
				return undefined;
			}

			case 'wait': {
				return {type: 'wait'};
			}

			case 'withheld': {
				const {fingerprint, kind, crashes, retryAfterMs} = verdict;
				const {head, route} = this.#request;
				this.#context.metrics.withheld(route.name);
				this.#context.log.info('withheld', {
					request: head.requestId,
					route: route.name,
					fingerprint,
					kind,
					crashes,
					retry_ms: Math.round(retryAfterMs),
				});
				return {type: 'refuse', reason: withheldReason, retryAfterMs};
			}
		}
	}

	/** Claims suspected fingerprints for this request, which then probes them. Returns false when it may not be sent. */
	#claimProbe(now: number): boolean {
		const {crashSuspects, crashReports, log} = this.#context;
		const verdict = crashSuspects.check(this.fingerprints, now);
		switch (verdict.type) {
			case 'clear': {
				return true;
			}

			case 'probe': {
				const {requestId} = this.#request.head;
				log.info('crash_probe', {request: requestId});
				crashReports.beginProbe(this.fingerprints, now);
				return true;
			}

			case 'wait':
			case 'withheld': {
				return false;
			}
		}
	}

	#place(now: number): Assignment {
		const {endpoints, dataCentre} = this.#context;
		const {head, receivedAt, route, service} = this.#request;
		const serving = endpoints.serving(service.name, now);
		const open =
			this.#state().sends === 0
				? this.#context.coldStart.open(serving, now)
				: serving;
		const assignment = place(
			{
				prompt: service.engine ? head.prompt : undefined,
				links: this.links,
				waitedMs: now - receivedAt,
				tried: this.#tried,
				isOnce: route.retryMode === 'once',
				dataCentre,
				objectiveMs: route.objectiveMs,
				rank: this.#rank,
			},
			open,
			now,
		);
		return assignment.type === 'refuse' && open.length < serving.length
			? {type: 'wait'}
			: assignment;
	}

	/** Claims the next free capacity of the engines that this gateway owns; the owners of others do so when they deny it. */
	#claimCapacity(now: number): void {
		const {service, head} = this.#request;
		if (service.engine && head.prompt) {
			claimCapacity(
				{links: this.links, rank: this.#rank},
				this.#context.endpoints.serving(service.name, now),
				now,
			);
		}
	}

	/** Queues the run until the engine that holds its replica has capacity to resume it. Resolves to false when it has none in time, or takes no requests. */
	async waitToResume(upstream: Upstream): Promise<boolean> {
		const {queue, peers, endpoints} = this.#context;
		const waitUntil = monotonicNow() + maxRetryWaitMs;
		const need = {...this.#reservationNeed(0), rank: resumedRank};
		const isReserved = await new Promise<boolean>((resolve, reject) => {
			const queuedRequest: QueuedRequest = {
				rank: resumedRank,
				arrivedAt: this.#request.receivedAt,
				lateAt: Number.POSITIVE_INFINITY,
				tryPlace: (now) => {
					if (
						now >= waitUntil ||
						this.#isTooLate ||
						this.#heldBack(now)?.type === 'refuse' ||
						!endpoints.canTakeRequests(upstream, now)
					) {
						resolve(false);
						return true;
					}

					if (
						upstream.suspendedMs(now) > 0 ||
						upstream.rateLimitedMs(now) > 0 ||
						!hasFreeSlot(upstream, resumedRank, now) ||
						timeToCapacityMs(upstream, resumedRank, 0, now) > 0
					) {
						return false;
					}

					const owner = peers.ownerOf(upstream);
					if (!owner) {
						const isReserved = peers.reserve(upstream, need);
						if (isReserved) {
							resolve(true);
						}

						return isReserved;
					}

					this.#requestCapacity(owner, upstream, need)
						.then((isReserved) => {
							if (isReserved) {
								resolve(true);
							} else {
								queue.submit(queuedRequest);
							}
						})
						.catch(reject);
					return true;
				},
			};
			queue.submit(queuedRequest);
		});
		if (isReserved) {
			this.#tried.add(upstream);
		}

		return isReserved;
	}

	/** Priority tier, 0 first. A started response takes precedence over all new ones. */
	get tier(): number {
		return this.#state().hasAnswer ? 0 : this.requestedTier;
	}

	/** Tier of the request itself: that of its workspace, or of its route where that names none. Among workspaces of equal tier the route decides, see the rank. */
	get requestedTier(): number {
		const {route, workspace} = this.#request;
		return workspace?.tier ?? route.tier;
	}

	/** Rank in which the request gets capacity, 0 first. A started response takes precedence over all new ones, and a workspace over its share comes behind the others of its tier. */
	get #rank(): number {
		if (this.#state().hasAnswer) {
			return 0;
		}

		const {rank} = this.#request;
		return this.#context.contention.rank(
			rank,
			this.#contending,
			monotonicNow(),
		);
	}

	#recordWait(now: number): void {
		const waitedMs = now - this.#request.receivedAt;
		this.#context.contention.recordWait(this.#contending, waitedMs, now);
	}

	#recordGrant(uncachedTokens: number, now: number): void {
		const {service, head} = this.#request;
		this.#context.contention.recordGrant(
			this.#contending,
			{
				uncachedTokens: service.engine ? uncachedTokens : undefined,
				outputTokens: head.prompt?.outputTokens ?? 0,
			},
			now,
		);
	}

	/** The caller has disconnected, the request's time is over, or it would be sent too late in a stop. */
	get #isTooLate(): boolean {
		const now = monotonicNow();
		return (
			this.#state().isAbandoned ||
			this.#expired(now) !== undefined ||
			this.#refusedByDrain(now) !== undefined
		);
	}

	#remainingMs(): number {
		return Math.max(0, this.#state().expiresAt - monotonicNow());
	}
}

function noCapacity(retryAfterMs: number): Refusal {
	return {type: 'refuse', reason: noCapacityReason, retryAfterMs};
}
