import {mix32} from '../../base/index.js';
import type {Prompt} from '../../interfaces/index.js';
import type {PrefixLink} from './prefix-memory.js';
import type {Backlog} from './reading-plan.js';
import type {Upstream} from './upstream.js';

/** Prompt tokens that a loaded engine reads in a millisecond: published figures of the engines in use lie between 50 and 65, and each chunk of 1024 tokens takes a decoding step as well. */
const prefillTokensPerMs = 40;

/** Time that each running request adds to the first token of another, in milliseconds. */
const perRunningMs = 1.5;

/** Time of an idle engine until the first token without any prompt, in milliseconds. */
const engineBaseMs = 100;

/** Time of an idle plain service until its answer, in milliseconds. */
const serviceBaseMs = 25;

/** Share of its reading time by which a prompt that no engine holds is drawn to the engine that all gateways prefer for it. */
const homePull = 0.5;

/** Mean backlog of a service's engines at which reading a prompt part again counts double, in milliseconds: the others wait for it as well. */
const doublingBacklogMs = 150;

/** Largest such factor. */
const maxReadFactor = 5;

/** Multiple of the mean slowness above which an engine counts as a straggler. Smaller differences are those of queues and must not move a prompt from the engine that holds its parts. */
const stragglerFactor = 2;

/** Least tokens for which a request waits until another one has made the engine read them. */
const minSharedTokens = 1500;

/** Part of its objective for which a request so waits. */
const sharedWaitObjectivePart = 0.4;

/** Least tokens that one engine copies from another: setting up a transfer takes some milliseconds, as long as reading these. */
const minCopiedTokens = 256;

/** Part of the time to read tokens that copying them may take: transfers queue on the links of both engines. */
const maxCopyPart = 0.25;

/** What copying a token costs in the choice, as a part of reading it: transfers are paid for, so a prompt stays with the engine that holds it while that has room. */
const copyCostPart = 0.5;

/** What a failing endpoint costs, against an answer in time: the time until a second try succeeds, in milliseconds. */
const failureCostMs = 3000;

/** What crossing to another data centre costs in the choice, in milliseconds; the path itself takes 1 ms, but its bytes are billed. */
const crossingCostMs = 4;

/** Requests beyond its slots that a plain endpoint may queue before it is passed over. */
const queueFactor = 1.25;

/**
 * Part of an engine's slots up to which it gets requests of the highest tier,
 * and how much less each lower tier gets. An answer holds its slot for
 * seconds, so a request that queues behind taken slots is late in any case, and
 * the last slots are for those that cannot wait.
 */
const slotsPart = 0.95;
const slotsStep = 0.1;
const leastSlotsPart = 0.5;

/**
 * Backlog of an engine up to which it gets requests of the highest tier, as a
 * part of the tightest objective in use. Each lower tier stops a step earlier,
 * so that its prompts never keep a higher one out.
 */
const backlogObjectivePart = 0.7;
const backlogStep = 0.25;
const leastBacklogPart = 0.4;

/** Objective that is assumed while no requests have been seen, in milliseconds. */
const defaultObjectiveMs = 1200;

/** Part of the tightest objective that a short prompt takes to read at most: it delays running answers so little that their pace does not hold it back. */
const shortObjectivePart = 0.15;

/** Multiple of the accepted backlog up to which an engine gets prompts beyond the pace of its answers, for each tier in use that is less urgent: those give way. */
const pacedFactor = 3;

/** Age of what reports say about unread prompts, in milliseconds: a prompt counts until its first token has been reported. */
const reportLagMs = 350;

/** What placement needs to know of a request. */
export type Placeable = {
	/** Absent when the service is no model engine. */
	readonly prompt: Prompt | undefined;
	/** The links of the prompt; the last one belongs to the request itself. */
	readonly links: readonly PrefixLink[];
	/** Time since it arrived, in milliseconds. */
	readonly waitedMs: number;
	/** Endpoints that have already been tried. */
	readonly tried: ReadonlySet<Upstream>;
	/** It runs at most once, so it avoids endpoints that are only being tried out. */
	readonly isOnce: boolean;
	readonly dataCentre: string;
	/** Latency target, in milliseconds. */
	readonly objectiveMs: number;
	/** Rank in which it gets room: its tier, and a part of one when it can wait. */
	readonly rank: number;
};

/** Where a request goes, or why it goes nowhere. */
export type Assignment =
	| {
			readonly type: 'send';
			readonly upstream: Upstream;
			/** Expected time to the first byte, in milliseconds. */
			readonly expectedMs: number;
			readonly uncachedTokens: number;
			/** Engine from which it copies shared parts that it does not hold. */
			readonly donor: Upstream | undefined;
			/** 0 for the engine that all gateways prefer for the prompt's shared parts, -1 for any other. */
			readonly home: number;
	  }
	/** No endpoint has room now. */
	| {readonly type: 'wait'}
	| {
			readonly type: 'refuse';
			readonly reason:
				| 'no endpoint'
				| 'all endpoints down'
				| 'all endpoints rest'
				| 'no room in time';
			/** Time after which there may be room, in milliseconds. */
			readonly retryAfterMs: number;
	  };

/** Time after which a caller asks again when nothing says when there will be room, in milliseconds. */
const defaultRetryAfterMs = 250;

type Candidate = {
	readonly upstream: Upstream;
	readonly expectedMs: number;
	readonly costMs: number;
	readonly uncachedTokens: number;
	readonly hasRoom: boolean;
	readonly donor: Upstream | undefined;
	/** Tokens of the prompt that the engine is reading for another request. */
	readonly pendingTokens: number;
	readonly home: number;
};

/**
 * Chooses the endpoint with the lowest expected time to the first byte. Prompt
 * parts draw a request to the engine that has read them, and rendezvous hashing
 * of the longest shared part lets all gateways agree on that engine without
 * messages. Answers load on few hot prompts, on single slow or failing
 * endpoints, and on the service as a whole.
 */
export function place(
	request: Placeable,
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

	const up = untried.filter((upstream) => upstream.unavailableMs(now) === 0);
	if (up.length === 0) {
		return unavailable(request, untried, now);
	}

	const heard = up.filter((upstream) => !upstream.isSuspect(now));
	const sound = heard.length > 0 ? heard : up;
	const open = sound.filter((upstream) => hasSlot(upstream, request, now));
	if (open.length === 0) {
		return {type: 'wait'};
	}

	if (request.prompt && !hasRoomAnywhere(request, open, now)) {
		return {type: 'wait'};
	}

	const steady = open.filter((upstream) => isSteady(upstream, request));
	const chosen = steady.length > 0 ? steady : open;
	const candidates = estimate(request, chosen, sound, now);
	let [best] = candidates;
	for (const candidate of candidates) {
		if (candidate.costMs < best!.costMs) {
			best = candidate;
		}
	}

	const {upstream, expectedMs, uncachedTokens, donor, home} = best!;
	const waitsForShared =
		best!.pendingTokens >= minSharedTokens &&
		request.waitedMs < request.objectiveMs * sharedWaitObjectivePart;
	return !best!.hasRoom || waitsForShared
		? {type: 'wait'}
		: {type: 'send', upstream, expectedMs, uncachedTokens, donor, home};
}

/** Waits where an endpoint's rest ends in time; otherwise nothing that the request could wait for is known. */
function unavailable(
	{waitedMs, objectiveMs}: Placeable,
	upstreams: readonly Upstream[],
	now: number,
): Assignment {
	const retryAfterMs = Math.min(
		...upstreams.map((upstream) => upstream.unavailableMs(now)),
	);
	const rests = upstreams.some(({restsUntil}) => restsUntil > now);
	return rests && waitedMs + retryAfterMs < objectiveMs
		? {type: 'wait'}
		: {
				type: 'refuse',
				reason: rests ? 'all endpoints rest' : 'all endpoints down',
				retryAfterMs,
			};
}

/** Whether any engine has room for the part of a prompt that is certainly not cached. Beyond capacity most requests that wait end here, and looking closely at each of them would take most of a small gateway's processor time. */
function hasRoomAnywhere(
	{links, rank}: Placeable,
	upstreams: readonly Upstream[],
	now: number,
): boolean {
	const leastTokens = links.at(-1)?.tokens ?? 0;
	return upstreams.some(
		(upstream) => timeToRoomMs(upstream, rank, leastTokens, now) <= 0,
	);
}

function hasSlot(
	upstream: Upstream,
	{prompt, rank}: Placeable,
	now: number,
): boolean {
	const part = prompt
		? Math.max(leastSlotsPart, slotsPart - slotsStep * rank)
		: queueFactor;
	return upstream.running(now) < upstream.listed.slots * part;
}

/** An endpoint on trial gets one request at a time, and none that may not be repeated. */
function isSteady(upstream: Upstream, request: Placeable): boolean {
	return (
		!upstream.health.isOnTrial || (!request.isOnce && upstream.ownRunning === 0)
	);
}

/** What an engine has still to read: as planned, or as reports say when it falls far behind its plan. */
export function backlogOf(
	upstream: Upstream,
	now: number,
	slowness = upstream.slowness(now),
): Backlog {
	const {leftMs, pacedMs} = upstream.plan.backlog(now);
	const unreadMs = backlogMs(upstream, now);
	const lateMs = Math.min(reportLagMs, unreadMs / 2);
	const reportedMs = unreadMs * slowness - lateMs;
	return {leftMs: Math.max(leftMs, reportedMs), pacedMs};
}

/** Time until an engine will have room for a prompt of a rank, in milliseconds; not positive when it has. */
export function timeToRoomMs(
	upstream: Upstream,
	rank: number,
	uncachedTokens: number,
	now: number,
): number {
	const {leftMs, pacedMs} = backlogOf(upstream, now);
	const objectiveMs =
		upstream.demand.tightestObjectiveMs(Math.floor(rank), now) ??
		defaultObjectiveMs;
	const acceptedMs = acceptedBacklogMs(objectiveMs, rank);
	const ranksBelow = Math.max(0, upstream.demand.lowestRank(now) - rank);
	const isShort =
		uncachedTokens / prefillTokensPerMs <= objectiveMs * shortObjectivePart;
	return Math.max(
		leftMs - acceptedMs,
		isShort
			? Number.NEGATIVE_INFINITY
			: pacedMs - acceptedMs * pacedFactor ** ranksBelow,
	);
}

/** Backlog of an engine up to which it gets requests of a rank, in milliseconds. */
function acceptedBacklogMs(objectiveMs: number, rank: number): number {
	return (
		objectiveMs *
		backlogObjectivePart *
		Math.max(leastBacklogPart, 1 - backlogStep * rank)
	);
}

/** Time that an engine needs for the prompts that it has still to read. */
function backlogMs(upstream: Upstream, now: number): number {
	return upstream.unreadTokens(now) / prefillTokensPerMs;
}

function estimate(
	request: Placeable,
	upstreams: readonly Upstream[],
	donors: readonly Upstream[],
	now: number,
): Candidate[] {
	return request.prompt
		? estimateEngines(request, request.prompt, upstreams, donors, now)
		: upstreams.map((upstream) => estimateService(request, upstream, now));
}

function estimateService(
	request: Placeable,
	upstream: Upstream,
	now: number,
): Candidate {
	const queueMs =
		(upstream.running(now) / Math.max(1, upstream.listed.slots)) *
		serviceBaseMs;
	const expectedMs = (serviceBaseMs + queueMs) * upstream.slowness(now);
	return {
		upstream,
		expectedMs,
		costMs: expectedMs + penaltyMs(request, upstream, now),
		uncachedTokens: 0,
		hasRoom: upstream.closedMs(now) === 0,
		donor: undefined,
		pendingTokens: 0,
		home: -1,
	};
}

function estimateEngines(
	request: Placeable,
	prompt: Prompt,
	upstreams: readonly Upstream[],
	donors: readonly Upstream[],
	now: number,
): Candidate[] {
	const home = preferred(request.links, upstreams);
	const isHeld = upstreams.some(
		({prefixes}) =>
			prefixes.expectedTokens(request.links, now) >= minSharedTokens,
	);
	const meanBacklogMs =
		upstreams.reduce(
			(sum, upstream) => sum + backlogOf(upstream, now).pacedMs,
			0,
		) / upstreams.length;
	const readFactor = Math.min(
		maxReadFactor,
		1 + meanBacklogMs / doublingBacklogMs,
	);
	const meanSlowness =
		upstreams.reduce((sum, upstream) => sum + upstream.slowness(now), 0) /
		upstreams.length;
	const donor = bestDonor(request.links, donors);
	return upstreams.map((upstream) => {
		const own = upstream.prefixes.cachedTokens(request.links);
		const copies = donor !== undefined && isWorthCopying(upstream, donor, own);
		const cached = copies ? donor.tokens : own;
		const expected = Math.max(
			cached,
			upstream.prefixes.expectedTokens(request.links, now),
		);
		const copiedTokens = cached - own;
		const readMs =
			(Math.max(0, prompt.promptTokens - expected) +
				copiedTokens * copyCostPart) /
			prefillTokensPerMs;
		const uncachedTokens = Math.max(0, prompt.promptTokens - cached);
		const slowness = upstream.slowness(now);
		const relative = slowness / meanSlowness;
		const drag = relative > stragglerFactor ? relative : 1;
		const baseMs =
			engineBaseMs +
			backlogOf(upstream, now, 1).leftMs +
			upstream.running(now) * perRunningMs;
		const toRoomMs = Math.max(
			upstream.closedMs(now),
			timeToRoomMs(upstream, request.rank, uncachedTokens, now),
		);
		const pull = upstream === home && !isHeld ? 1 - homePull : 1;
		return {
			upstream,
			expectedMs: (baseMs + uncachedTokens / prefillTokensPerMs) * slowness,
			costMs:
				(baseMs + readMs * readFactor * pull) * drag +
				Math.max(0, toRoomMs) +
				penaltyMs(request, upstream, now),
			uncachedTokens,
			hasRoom: toRoomMs <= 0,
			donor: copies ? donor.upstream : undefined,
			pendingTokens: expected - cached,
			home: upstream === home ? 0 : -1,
		};
	});
}

/** Engine that holds most of a prompt, and how many tokens. */
type Donor = {readonly upstream: Upstream; readonly tokens: number};

function bestDonor(
	links: readonly PrefixLink[],
	upstreams: readonly Upstream[],
): Donor | undefined {
	let best: Donor | undefined;
	for (const upstream of upstreams) {
		const tokens = upstream.prefixes.cachedTokens(links);
		if (tokens > (best?.tokens ?? 0)) {
			best = {upstream, tokens};
		}
	}

	return best;
}

/** Whether an engine gets what it lacks of a prompt sooner from another engine than by reading it. */
function isWorthCopying(
	{transfer}: Upstream,
	{tokens}: Donor,
	ownTokens: number,
): boolean {
	const lacking = tokens - ownTokens;
	if (!transfer || lacking < minCopiedTokens) {
		return false;
	}

	const {bytesPerToken, linkMbps} = transfer;
	const copyMs = (lacking * bytesPerToken * 8) / (linkMbps * 1000);
	return copyMs < (lacking / prefillTokensPerMs) * maxCopyPart;
}

function penaltyMs(
	request: Placeable,
	upstream: Upstream,
	now: number,
): number {
	const {dataCentre, warmUpMs} = upstream.listed;
	const crossingMs = dataCentre === request.dataCentre ? 0 : crossingCostMs;
	return (
		crossingMs + warmUpMs + upstream.health.failingPart(now) * failureCostMs
	);
}

/** The engine that all gateways prefer for a prompt, by the longest part that requests share. */
function preferred(
	links: readonly PrefixLink[],
	upstreams: readonly Upstream[],
): Upstream | undefined {
	const shared = links.at(-2);
	if (!shared) {
		return undefined;
	}

	let best: Upstream | undefined;
	let bestRank = -1;
	for (const upstream of upstreams) {
		const rank = mix32(shared.hash, upstream.key);
		if (rank > bestRank) {
			best = upstream;
			bestRank = rank;
		}
	}

	return best;
}
