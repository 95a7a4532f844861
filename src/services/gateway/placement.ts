import {hash32} from '../../base/index.js';
import type {Prompt} from '../../interfaces/index.js';
import type {Upstream} from './upstream.js';

/** Prompt tokens that an engine reads in a millisecond; published figures of the engines in use lie between 50 and 65. */
const prefillTokensPerMs = 50;

/** Time that each running request adds to the first token of another, in milliseconds. */
const perRunningMs = 6;

/** Time of an idle engine until the first token without any prompt, in milliseconds. */
const engineBaseMs = 100;

/** Time of an idle plain service until its answer, in milliseconds. */
const serviceBaseMs = 25;

/** Part of the shared tokens that the first-ranked engines are taken to hold when this gateway has not sent them there itself: other gateways have. */
const homeCachedParts = [0.8, 0.4] as const;

/** What a failing endpoint costs, against an answer in time: the time until a second try succeeds, in milliseconds. */
const failureCostMs = 3000;

/** What crossing to another data centre costs in the choice, in milliseconds; the path itself takes 1 ms, but its bytes are billed. */
const crossingCostMs = 4;

/** Requests beyond its slots that an endpoint may queue before it is passed over. */
const queueFactor = 1.25;

/** What assignment needs to know of a request. */
export type Placeable = {
	readonly prompt: Prompt | undefined;
	/** Endpoints that have already been tried. */
	readonly tried: ReadonlySet<Upstream>;
	/** It runs at most once, so it avoids endpoints that are only being tried out. */
	readonly isOnce: boolean;
	readonly dataCentre: string;
};

/** Where a request goes, or why it goes nowhere. */
export type Assignment =
	| {
			readonly type: 'send';
			readonly upstream: Upstream;
			/** Expected time to the first byte, in milliseconds. */
			readonly expectedMs: number;
			readonly uncachedTokens: number;
	  }
	| {
			readonly type: 'refuse';
			readonly reason:
				'no endpoint' | 'all endpoints down' | 'all endpoints full';
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

	const up = untried.filter((upstream) => upstream.health.blockedMs(now) === 0);
	if (up.length === 0) {
		return {
			type: 'refuse',
			reason: 'all endpoints down',
			retryAfterMs: Math.min(
				...untried.map((upstream) => upstream.health.blockedMs(now)),
			),
		};
	}

	const open = up.filter((upstream) => hasRoom(upstream, now));
	if (open.length === 0) {
		return {
			type: 'refuse',
			reason: 'all endpoints full',
			retryAfterMs: defaultRetryAfterMs,
		};
	}

	const steady = open.filter((upstream) => isSteady(upstream, request));
	const candidates = estimate(request, steady.length > 0 ? steady : open, now);
	let [best] = candidates;
	for (const candidate of candidates) {
		if (candidate.costMs < best!.costMs) {
			best = candidate;
		}
	}

	const {upstream, expectedMs, uncachedTokens} = best!;
	return {type: 'send', upstream, expectedMs, uncachedTokens};
}

function hasRoom(upstream: Upstream, now: number): boolean {
	return upstream.running(now) < upstream.listed.slots * queueFactor;
}

/** An endpoint on trial gets one request at a time, and none that may not be repeated. */
function isSteady(upstream: Upstream, request: Placeable): boolean {
	return (
		!upstream.health.isOnTrial || (!request.isOnce && upstream.ownRunning === 0)
	);
}

function estimate(
	request: Placeable,
	upstreams: readonly Upstream[],
	now: number,
): Candidate[] {
	const {prompt} = request;
	const homes = prompt ? rankHomes(prompt, upstreams) : [];
	return upstreams.map((upstream) => {
		const uncachedTokens = prompt
			? uncached(prompt, upstream, homes.indexOf(upstream))
			: 0;
		const baseMs = prompt ? engineBaseMs : serviceBaseMs;
		const running = upstream.running(now);
		const waitMs = prompt
			? (upstream.unreadTokens() + uncachedTokens) / prefillTokensPerMs +
				running * perRunningMs
			: (running / Math.max(1, upstream.listed.slots)) * serviceBaseMs;
		const expectedMs = (baseMs + waitMs) * upstream.slowness(now);
		const crossingMs =
			upstream.listed.dataCentre === request.dataCentre ? 0 : crossingCostMs;
		return {
			upstream,
			expectedMs,
			uncachedTokens,
			costMs:
				expectedMs +
				crossingMs +
				upstream.listed.warmUpMs +
				upstream.health.failingPart(now) * failureCostMs,
		};
	});
}

/** The engines that all gateways prefer for a prompt, best first: by the longest part that requests share. */
function rankHomes(prompt: Prompt, upstreams: readonly Upstream[]): Upstream[] {
	const shared = prompt.parts.slice(0, -1);
	if (shared.length === 0) {
		return [];
	}

	const key = shared.map(({id}) => id).join('/');
	return upstreams
		.map((upstream) => ({upstream, rank: hash32(`${key}\n${upstream.id}`)}))
		.toSorted((a, b) => b.rank - a.rank)
		.slice(0, homeCachedParts.length)
		.map(({upstream}) => upstream);
}

function uncached(prompt: Prompt, upstream: Upstream, home: number): number {
	const known = upstream.prefixes.cachedTokens(prompt.parts);
	const shared = prompt.parts
		.slice(0, -1)
		.reduce((sum, {tokens}) => sum + tokens, 0);
	const assumed = home === -1 ? 0 : shared * homeCachedParts[home]!;
	return Math.max(0, prompt.promptTokens - Math.max(known, assumed));
}
