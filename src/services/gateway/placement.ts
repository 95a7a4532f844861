import {mix32} from '../../base/index.js';
import type {Prompt} from '../../interfaces/index.js';
import type {PrefixLink} from './prefix-index.js';
import {
	divisionPenaltyMs,
	ownSide,
	type RequestDivision,
} from './engine-division.js';
import type {Backlog} from './prefill-estimate.js';
import {requestBounds, type RequestBound} from './server-shares.js';
import {leavingCostMs, spillChoices, type SpillRequest} from './spill-over.js';
import type {Upstream} from './upstream.js';

/** Prompt tokens that a loaded engine prefills in a millisecond: published figures for the engines in use are 50 to 65, and each chunk of 1024 tokens takes a decoding step as well. */
const prefillTokensPerMs = 40;

/** Time in milliseconds by which each running request delays the first token of another. */
const delayPerRunningMs = 1.5;

/** Time in milliseconds until the first token at an idle engine, without the prefill. */
const idleEngineMs = 100;

/** Time in milliseconds until the answer of an idle plain service. */
const idleServiceMs = 25;

/** Fraction of its prefill time by which a prompt that no engine has cached costs less at its preferred engine. */
const preferredEngineDiscount = 0.5;

/** Mean backlog of a service's engines in milliseconds at which prefill costs twice as much: other prompts wait for it as well. */
const doublingBacklogMs = 150;

/** Maximum factor by which the backlog raises the cost of prefill. */
const maxPrefillFactor = 5;

/** Multiple of the mean slowness above which an engine counts as a straggler. Smaller differences come from queues and must not move a prompt away from the engine that has its parts cached. */
const stragglerFactor = 2;

/** Minimum number of shared tokens for which a request waits until their prefill for another request is done. */
const minSharedTokens = 1500;

/** Maximum time of such a wait, as a fraction of the request's objective. */
const maxSharedWaitFraction = 0.4;

/** Minimum number of tokens that one engine copies from another: setting up a transfer takes some milliseconds, as long as the prefill of these. */
const minCopiedTokens = 256;

/** Maximum time to copy tokens, as a fraction of the time to prefill them: transfers queue on the links of both engines. */
const maxCopyTimeFraction = 0.25;

/** Cost of copying a token, as a fraction of the cost of its prefill: transfers are paid for, so a prompt stays with the engine that has it cached while that engine has capacity. */
const copyCostFraction = 0.5;

/** Cost of a failed request compared with an answer in time, in milliseconds: the time until a second try succeeds. */
const failureCostMs = 3000;

/**
 * Cost of an endpoint to which no connection is open, in milliseconds: it takes a
 * round trip, and new connections are billed. For a prompt that shares too little
 * to be worth a connection it must exceed the discount of its preferred engine (18
 * ms for 1,500 tokens); for others it decides only among equals, as it would keep
 * them from the engines that have their parts cached. At plain services it is
 * worth two queued requests.
 */
const smallShareConnectionCostMs = 20;
const largeShareConnectionCostMs = 4;
const newServiceConnectionCostMs = 8;

/**
 * Fraction of an engine's slots up to which it gets requests of rank 0, the
 * reduction for each further rank, and the minimum. An answer occupies its slot
 * for seconds, so a request that is queued at an engine without a free slot is
 * late in any case. The last slots are kept for requests that cannot wait.
 */
const maxSlotsFraction = 0.95;
const slotsFractionStep = 0.1;
const minSlotsFraction = 0.5;

/** Rank of a run that resumes on another engine, ahead of all new requests: its caller has a part of the answer. It may take every slot. */
export const resumedRank = -0.5;

/**
 * Prefill backlog up to which an engine gets requests of rank 0, as a fraction
 * of the tightest objective in use. The step and the minimum are fractions of
 * that limit: each further rank has a limit one step lower, so that its prompts
 * never take the capacity of more urgent ones.
 */
const maxBacklogFraction = 0.7;
const backlogFractionStep = 0.25;
const minBacklogFraction = 0.4;

/** Objective in milliseconds that is assumed until requests have arrived. */
const defaultObjectiveMs = 1200;

/** Maximum prefill time of a short prompt, as a fraction of the tightest objective: it delays running answers so little that the limit on the paced backlog does not apply to it. */
const shortPromptFraction = 0.15;

/** Factor by which each less urgent rank in use raises the limit on the paced backlog: its requests are the ones that wait. */
const pacedLimitFactor = 3;

/** Delay in milliseconds of the reported tokens awaiting prefill: a prompt counts until its first token has been reported. */
const reportLagMs = 350;

/** Properties of a request that decide where it is placed. */
export type PlacementRequest = SpillRequest & {
	/** Undefined if the service is not a model engine. */
	readonly prompt: Prompt | undefined;
	/** Time since its arrival, in milliseconds. */
	readonly waitedMs: number;
	/** Endpoints that have already been tried for it. */
	readonly tried: ReadonlySet<Upstream>;
	/** It must not run more than once, so it is not used as a half-open probe of an endpoint. */
	readonly isOnce: boolean;
	/** Latency target, in milliseconds. */
	readonly objectiveMs: number;
	/** Rank in which it gets capacity, 0 first. */
	readonly rank: number;
	/** Undefined when no engines are reserved. */
	readonly division?: RequestDivision;
};

/** Endpoint to which a request is sent, or why it is not sent. */
export type Assignment =
	| {
			readonly type: 'send';
			readonly upstream: Upstream;
			/** Expected time to the first byte, in milliseconds. */
			readonly expectedMs: number;
			/** Prompt tokens that the engine has to prefill. */
			readonly uncachedTokens: number;
			/** Source of the transfer of shared parts that the chosen engine has not cached. */
			readonly donor: Upstream | undefined;
			/** 0 for the preferred engine of the prompt's shared parts, -1 for any other. */
			readonly home: number;
	  }
	/** No endpoint has capacity now, or shared parts are being prefilled for another request. */
	| {readonly type: 'wait'}
	| {
			readonly type: 'refuse';
			readonly reason:
				| 'no endpoint'
				| 'all endpoints down'
				| 'all endpoints rest'
				| 'no room in time'
				| 'request crashes servers'
				| 'stopping';
			/** Time after which there may be capacity, in milliseconds. */
			readonly retryAfterMs: number;
	  };

/** Retry-After in milliseconds if it is not known when there will be capacity. */
const defaultRetryAfterMs = 250;

/** Endpoint that may get the request, with the estimates that decide. */
type Candidate = {
	readonly upstream: Upstream;
	readonly expectedMs: number;
	/** Cost in milliseconds; the candidate with the lowest is chosen. */
	readonly costMs: number;
	readonly uncachedTokens: number;
	readonly hasCapacity: boolean;
	readonly donor: Upstream | undefined;
	/** Tokens of the prompt that the engine is prefilling for another request. */
	readonly pendingTokens: number;
	readonly home: number;
};

/**
 * Chooses the endpoint with the lowest cost, which is mainly the expected time
 * to the first byte. An engine that has parts of the prompt cached is faster,
 * and rendezvous hashing of the longest shared part lets all gateways prefer
 * the same engine for it without messages. Handles a few hot prompts, single
 * slow or failing endpoints, and overload of the whole service.
 */
export function place(
	request: PlacementRequest,
	serving: readonly Upstream[],
	now: number,
): Assignment {
	const untried = serving.filter((upstream) => !request.tried.has(upstream));
	if (untried.length === 0) {
		return {
			type: 'refuse',
			reason: 'no endpoint',
			retryAfterMs: defaultRetryAfterMs,
		};
	}

	const available = untried.filter(
		(upstream) => upstream.unavailableMs(now) === 0,
	);
	if (available.length === 0) {
		return unavailable(request, untried, now);
	}

	const responsive = available.filter((upstream) => !upstream.isSuspect(now));
	const reachable = responsive.length > 0 ? responsive : available;
	const bound = requestBounds(request.prompt ? [] : reachable, now);
	const withSlot = reachable.filter(
		(upstream) =>
			upstream.rateLimitedMs(now) === 0 &&
			hasSlot(upstream, request, bound, now),
	);
	if (withSlot.length === 0) {
		return {type: 'wait'};
	}

	if (request.prompt && !anyHasCapacity(request, withSlot, now)) {
		return {type: 'wait'};
	}

	const eligible = withSlot.filter((upstream) =>
		isEligible(upstream, request, now),
	);
	const room = (upstream: Upstream) => roomFor(request, upstream, now);
	const side = ownSide(
		request.division,
		eligible.length > 0 ? eligible : withSlot,
		room,
	);
	// Caches and prefill backlogs differ by more than the way costs, so prompts choose among all engines.
	const chosen = request.prompt ? side : spillChoices(request, side, room, now);
	if (chosen.length === 0) {
		return {type: 'wait'};
	}

	const candidates = estimate(request, chosen, reachable, now);
	let [best] = candidates;
	for (const candidate of candidates) {
		if (candidate.costMs < best!.costMs) {
			best = candidate;
		}
	}

	const {upstream, expectedMs, uncachedTokens, donor, home} = best!;
	const isSharedPending =
		best!.pendingTokens >= minSharedTokens &&
		request.waitedMs < request.objectiveMs * maxSharedWaitFraction;
	return !best!.hasCapacity || isSharedPending
		? {type: 'wait'}
		: {type: 'send', upstream, expectedMs, uncachedTokens, donor, home};
}

/** Claims the next free capacity of each engine that has none for a waiting request now, so that the owner keeps it from less urgent requests of other gateways. */
export function claimCapacity(
	{links, rank}: Pick<PlacementRequest, 'links' | 'rank'>,
	serving: readonly Upstream[],
	now: number,
): void {
	const minTokens = links.at(-1)?.tokens ?? 0;
	for (const upstream of serving) {
		if (!upstream.claims.isFresh(rank, now)) {
			const freeInMs = timeToFreeMs(upstream, rank, minTokens, now);
			if (freeInMs > 0 || !hasFreeSlot(upstream, rank, now)) {
				upstream.claims.add(rank, freeInMs, now);
			}
		}
	}
}

/** Lets a request wait if the Retry-After of an endpoint ends within its objective. Otherwise there is no known time to wait for, and the request is refused. */
function unavailable(
	{waitedMs, objectiveMs}: PlacementRequest,
	upstreams: readonly Upstream[],
	now: number,
): Assignment {
	const retryAfterMs = Math.min(
		...upstreams.map((upstream) => upstream.unavailableMs(now)),
	);
	const isBackingOff = upstreams.some(({backOffUntil}) => backOffUntil > now);
	return isBackingOff && waitedMs + retryAfterMs < objectiveMs
		? {type: 'wait'}
		: {
				type: 'refuse',
				reason: isBackingOff ? 'all endpoints rest' : 'all endpoints down',
				retryAfterMs,
			};
}

/** Whether any engine has capacity for the part of a prompt that is certainly not cached. Under overload most queued requests fail this check; estimating the cost of each of them would take most of a small gateway's processor time. */
function anyHasCapacity(
	{links, rank}: PlacementRequest,
	upstreams: readonly Upstream[],
	now: number,
): boolean {
	const minTokens = links.at(-1)?.tokens ?? 0;
	return upstreams.some(
		(upstream) => timeToCapacityMs(upstream, rank, minTokens, now) <= 0,
	);
}

function hasSlot(
	upstream: Upstream,
	{prompt, rank}: PlacementRequest,
	bound: RequestBound,
	now: number,
): boolean {
	return prompt
		? hasFreeSlot(upstream, rank, now)
		: upstream.running(now) < bound(upstream);
}

/** Slots in which an endpoint would work on a request at once. */
function roomFor(
	{prompt, rank, links}: PlacementRequest,
	upstream: Upstream,
	now: number,
): number {
	if (!prompt) {
		return upstream.listed.slots - upstream.running(now);
	}

	const minTokens = links.at(-1)?.tokens ?? 0;
	return timeToCapacityMs(upstream, rank, minTokens, now) <= 0
		? freeSlots(upstream, rank, now)
		: 0;
}

/** Whether an engine has a free slot for a request of a rank. */
export function hasFreeSlot(
	upstream: Upstream,
	rank: number,
	now: number,
): boolean {
	return freeSlots(upstream, rank, now) > 0;
}

/** Slots of an engine that requests of a rank may still take. */
export function freeSlots(
	upstream: Upstream,
	rank: number,
	now: number,
): number {
	const fraction = Math.max(
		minSlotsFraction,
		maxSlotsFraction - slotsFractionStep * rank,
	);
	return upstream.listed.slots * fraction - upstream.running(now);
}

/** Whether an endpoint is healthy or may get the request as a half-open probe: one request at a time, and none that must not be repeated. */
function isEligible(
	upstream: Upstream,
	request: PlacementRequest,
	now: number,
): boolean {
	const {health, ownRunning} = upstream;
	return (
		!health.isOnTrial ||
		(!request.isOnce && ownRunning === 0 && health.mayProbe(now))
	);
}

/** Prefill backlog of an engine: the estimate, or the reported tokens awaiting prefill if the engine is far behind the estimate. */
export function prefillBacklog(
	upstream: Upstream,
	now: number,
	slowness = upstream.pace.backlogFactor(now),
): Backlog {
	const {leftMs, pacedMs} = upstream.plan.backlog(now);
	const unreadMs = awaitingPrefillMs(upstream, now);
	const lagMs = Math.min(reportLagMs, unreadMs / 2);
	const reportedMs = unreadMs * slowness - lagMs;
	return {leftMs: Math.max(leftMs, reportedMs), pacedMs};
}

/** Time until an engine has capacity for a prompt of a rank that no more urgent requests have claimed, in milliseconds; zero or negative if it has now. */
export function timeToCapacityMs(
	upstream: Upstream,
	rank: number,
	uncachedTokens: number,
	now: number,
): number {
	const heldMs = upstream.claims.heldMs(rank, now);
	const freeInMs = timeToFreeMs(upstream, rank, uncachedTokens, now);
	return heldMs > 0 ? Math.max(heldMs, freeInMs) : freeInMs;
}

/** Time until the prefill backlog of an engine allows a prompt of a rank, in milliseconds; zero or negative if it does now. */
export function timeToFreeMs(
	upstream: Upstream,
	rank: number,
	uncachedTokens: number,
	now: number,
): number {
	const {leftMs, pacedMs} = prefillBacklog(upstream, now);
	const objectiveMs =
		upstream.demand.tightestObjectiveMs(Math.floor(rank), now) ??
		defaultObjectiveMs;
	const limitMs = maxBacklogMs(objectiveMs, rank);
	const ranksBelow = Math.max(0, upstream.demand.lowestRank(now) - rank);
	const isShort =
		uncachedTokens / prefillTokensPerMs <= objectiveMs * shortPromptFraction;
	return Math.max(
		leftMs - limitMs,
		isShort
			? Number.NEGATIVE_INFINITY
			: pacedMs - limitMs * pacedLimitFactor ** ranksBelow,
	);
}

/** Prefill backlog up to which an engine gets requests of a rank, in milliseconds. */
function maxBacklogMs(objectiveMs: number, rank: number): number {
	return (
		objectiveMs *
		maxBacklogFraction *
		Math.max(minBacklogFraction, 1 - backlogFractionStep * rank)
	);
}

/** Time to prefill the tokens awaiting it at an engine, in milliseconds. */
function awaitingPrefillMs(upstream: Upstream, now: number): number {
	return upstream.unreadTokens(now) / prefillTokensPerMs;
}

function estimate(
	request: PlacementRequest,
	upstreams: readonly Upstream[],
	donors: readonly Upstream[],
	now: number,
): Candidate[] {
	return request.prompt
		? estimateEngines(request, request.prompt, upstreams, donors, now)
		: upstreams.map((upstream) => estimateService(request, upstream, now));
}

function estimateService(
	request: PlacementRequest,
	upstream: Upstream,
	now: number,
): Candidate {
	const queueMs =
		(upstream.running(now) / Math.max(1, upstream.listed.slots)) *
		idleServiceMs;
	const expectedMs = (idleServiceMs + queueMs) * upstream.slowness(now);
	return {
		upstream,
		expectedMs,
		costMs: expectedMs + penaltyMs(request, upstream, now),
		uncachedTokens: 0,
		hasCapacity: upstream.suspendedMs(now) === 0,
		donor: undefined,
		pendingTokens: 0,
		home: -1,
	};
}

function estimateEngines(
	request: PlacementRequest,
	prompt: Prompt,
	upstreams: readonly Upstream[],
	donors: readonly Upstream[],
	now: number,
): Candidate[] {
	const {division} = request;
	const ownPart = upstreams.filter(
		(upstream) => division?.reserved.has(upstream) === division?.isSensitive,
	);
	const preferredEngine = choosePreferredEngine(
		request.links,
		ownPart.length > 0 ? ownPart : upstreams,
	);
	const isCachedAnywhere = upstreams.some(
		({prefixIndex}) =>
			prefixIndex.expectedTokens(request.links, now) >= minSharedTokens,
	);
	const meanBacklogMs =
		upstreams.reduce(
			(sum, upstream) => sum + prefillBacklog(upstream, now).pacedMs,
			0,
		) / upstreams.length;
	const prefillFactor = Math.min(
		maxPrefillFactor,
		1 + meanBacklogMs / doublingBacklogMs,
	);
	const meanSlowness =
		upstreams.reduce((sum, upstream) => sum + upstream.slowness(now), 0) /
		upstreams.length;
	const donor = chooseDonor(request.links, donors);
	return upstreams.map((upstream) => {
		const ownTokens = upstream.prefixIndex.cachedTokens(request.links);
		const isCopied =
			donor !== undefined && isCopyCheaper(upstream, donor, ownTokens);
		const availableTokens = isCopied ? donor.tokens : ownTokens;
		const expectedTokens = Math.max(
			availableTokens,
			upstream.prefixIndex.expectedTokens(request.links, now),
		);
		const copiedTokens = availableTokens - ownTokens;
		const prefillCostMs =
			(Math.max(0, prompt.promptTokens - expectedTokens) +
				copiedTokens * copyCostFraction) /
			prefillTokensPerMs;
		const uncachedTokens = Math.max(0, prompt.promptTokens - availableTokens);
		const slowness = upstream.slowness(now);
		const relativeSlowness = slowness / meanSlowness;
		// A stated slowdown holds now; a mean of first-byte times may come from queues.
		const stragglerPenalty =
			upstream.pace.slowdown.isReported || relativeSlowness > stragglerFactor
				? relativeSlowness
				: 1;
		const baseMs =
			idleEngineMs +
			prefillBacklog(upstream, now, 1).leftMs +
			upstream.running(now) * delayPerRunningMs;
		const toCapacityMs = Math.max(
			upstream.suspendedMs(now),
			timeToCapacityMs(upstream, request.rank, uncachedTokens, now),
		);
		const discountFactor =
			upstream === preferredEngine && !isCachedAnywhere
				? 1 - preferredEngineDiscount
				: 1;
		return {
			upstream,
			expectedMs: (baseMs + uncachedTokens / prefillTokensPerMs) * slowness,
			costMs:
				(baseMs + prefillCostMs * prefillFactor * discountFactor) *
					stragglerPenalty +
				Math.max(0, toCapacityMs) +
				divisionPenaltyMs(division, upstream, uncachedTokens) +
				penaltyMs(request, upstream, now),
			uncachedTokens,
			hasCapacity: toCapacityMs <= 0,
			donor: isCopied ? donor.upstream : undefined,
			pendingTokens: expectedTokens - availableTokens,
			home: upstream === preferredEngine ? 0 : -1,
		};
	});
}

/** Engine that has cached the most leading tokens of a prompt, and how many. */
type Donor = {readonly upstream: Upstream; readonly tokens: number};

function chooseDonor(
	links: readonly PrefixLink[],
	upstreams: readonly Upstream[],
): Donor | undefined {
	let best: Donor | undefined;
	for (const upstream of upstreams) {
		const tokens = upstream.prefixIndex.cachedTokens(links);
		if (tokens > (best?.tokens ?? 0)) {
			best = {upstream, tokens};
		}
	}

	return best;
}

/** Whether an engine gets the missing tokens of a prompt sufficiently faster from the donor than by prefill. */
function isCopyCheaper(
	{transfer}: Upstream,
	{tokens}: Donor,
	ownTokens: number,
): boolean {
	const missingTokens = tokens - ownTokens;
	if (!transfer || missingTokens < minCopiedTokens) {
		return false;
	}

	const {bytesPerToken, linkMbps} = transfer;
	const copyMs = (missingTokens * bytesPerToken * 8) / (linkMbps * 1000);
	return copyMs < (missingTokens / prefillTokensPerMs) * maxCopyTimeFraction;
}

/** Cost of using an endpoint beside its load: another data centre, a new connection, a warm-up, or recent failures. */
function penaltyMs(
	request: PlacementRequest,
	upstream: Upstream,
	now: number,
): number {
	const {dataCentre, warmUpMs} = upstream.listed;
	const hasConnection = upstream.hasIdleConnection(
		request.isOnce ? 'once' : 'repeatable',
	);
	const newConnectionMs = request.prompt
		? engineConnectionCostMs(request)
		: newServiceConnectionCostMs;
	const otherDataCentreMs =
		dataCentre === request.dataCentre ? 0 : leavingCostMs(request);
	return (
		otherDataCentreMs +
		warmUpMs +
		(hasConnection ? 0 : newConnectionMs) +
		upstream.health.failingPart(now) * failureCostMs
	);
}

function engineConnectionCostMs({links}: PlacementRequest): number {
	const sharedTokens = links
		.slice(0, -1)
		.reduce((sum, {tokens}) => sum + tokens, 0);
	return sharedTokens < minSharedTokens
		? smallShareConnectionCostMs
		: largeShareConnectionCostMs;
}

/** Engine that all gateways prefer for a prompt: the highest rendezvous hash with its longest shared prefix. */
function choosePreferredEngine(
	links: readonly PrefixLink[],
	upstreams: readonly Upstream[],
): Upstream | undefined {
	const shared = links.at(-2);
	if (!shared) {
		return undefined;
	}

	let best: Upstream | undefined;
	let bestScore = -1;
	for (const upstream of upstreams) {
		const score = mix32(shared.hash, upstream.key);
		if (score > bestScore) {
			best = upstream;
			bestScore = score;
		}
	}

	return best;
}
