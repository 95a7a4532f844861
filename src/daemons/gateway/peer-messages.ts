import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';
import type {
	Backlog,
	CopyFreshness,
	CrashNotices,
	HealthNotice,
	FingerprintNotice,
	PeerReport,
	RateLimitNotice,
	ReservationResult,
	ReservationRequest,
} from '../../services/gateway/index.js';
import {
	contentionFromWire,
	contentionToWire,
	contentionMessageType,
	contentionWireMessage,
	type ContentionMessage,
} from './contention-messages.js';

/** First element of a message on the wire. */
const messageTypes = {
	report: 0,
	ask: 1,
	granted: 2,
	denied: 3,
	revalidationRequest: 4,
	proof: 5,
	full: 6,
	rateLimits: 7,
	limited: 8,
	crashes: 9,
	health: 10,
} as const;

/** Stands for an endpoint without a request limit on the wire. */
const noLimit = -1;

/** Stands for a probe that has not succeeded on the wire. */
const noSuccess = -1;

/** Limits of amounts, so that one odd message neither closes an engine for good nor makes a sum overflow; a later message gives more if there is more. */
const maxRunning = 1_000_000;
const maxTokens = 1_000_000_000;
const maxWaitMs = 60_000;

/** Hash of an endpoint, or a digest. */
const key = z.uint32();

/** Version, start time, or number in a sequence. */
const ordinal = z.number().int().nonnegative();

/** Age or time, in milliseconds. */
const ms = z.number().nonnegative();

/** Hash with an offset for the kind of fingerprint. */
const fingerprint = z.number().int().nonnegative();

/** Fingerprint and age of what was observed about its requests, in milliseconds. */
const fingerprintNotice = z.tuple([fingerprint, ms]);

/** Messages on the wire. They are tuples without field names to keep reports small: every gateway sends them to all others, and the smallest gateways have little bandwidth. */
const wireMessage = z.union([
	z.tuple([
		z.literal(messageTypes.report),
		/** Gateway, sequence, incarnation, latest settled reservation. */
		z.string(),
		ordinal,
		ordinal,
		ordinal,
		/** Endpoint, running requests, tokens awaiting prefill. */
		z.array(z.tuple([key, z.number(), z.number()])),
		/** Endpoint, hash, tokens, 1 when the prefill is done and 0 when it begins. */
		z.array(z.tuple([key, key, z.number(), z.number()])),
		/** Endpoint, its prefill backlog in milliseconds, the same at the pace of its answers. */
		z.array(z.tuple([key, z.number(), z.number()])),
		/** Leaving endpoint, its start time. */
		z.array(z.tuple([key, ordinal])),
	]),
	/** Gateway, request number, endpoint, tokens awaiting prefill, rank, KV cache tokens. */
	z.tuple([
		z.literal(messageTypes.ask),
		z.string(),
		ordinal,
		key,
		z.number(),
		z.number(),
		z.number(),
	]),
	/** Number of the reservation request. */
	z.tuple([z.literal(messageTypes.granted), ordinal]),
	/** Number of the reservation request, the engine's prefill backlog in milliseconds, the same at the pace of its answers. */
	z.tuple([z.literal(messageTypes.denied), ordinal, z.number(), z.number()]),
	/** Number of the reservation request. */
	z.tuple([z.literal(messageTypes.full), ordinal]),
	/** Gateway; endpoint, its start time, requests a second or -1 for no limit, age of the observation in milliseconds, requests sent. */
	z.tuple([
		z.literal(messageTypes.rateLimits),
		z.string(),
		z.array(z.tuple([key, ordinal, z.number(), ms, ordinal])),
	]),
	/** Number of the reservation request, time until the request limit may allow one, in milliseconds. */
	z.tuple([z.literal(messageTypes.limited), ordinal, ms]),
	/** Gateway; endpoint, its start time, age of its crash in milliseconds and fingerprints of the unanswered requests; fingerprint and age of a survival; fingerprint and age of a probe. */
	z.tuple([
		z.literal(messageTypes.crashes),
		z.string(),
		z.array(z.tuple([key, ordinal, ms, z.array(fingerprint)])),
		z.array(fingerprintNotice),
		z.array(fingerprintNotice),
	]),
	/** Gateway; endpoint, its start time, age of the probe, age of its success or -1, in milliseconds. */
	z.tuple([
		z.literal(messageTypes.health),
		z.string(),
		z.array(z.tuple([key, ordinal, ms, z.number()])),
	]),
	/** Number of the revalidation request. */
	z.tuple([z.literal(messageTypes.revalidationRequest), ordinal]),
	/** Number of the revalidation request, era, version and age of the configuration, digest and age of the endpoints; ages in milliseconds. */
	z.tuple([
		z.literal(messageTypes.proof),
		ordinal,
		z.number().int(),
		ordinal,
		ms,
		key,
		ms,
	]),
	contentionWireMessage,
]);

/** Message between gateways. */
export type PeerMessage =
	| ({readonly type: 'report'} & PeerReport)
	| ({readonly type: 'ask'} & ReservationRequest)
	| ContentionMessage
	| {
			readonly type: 'rate limits';
			readonly gateway: string;
			readonly notices: readonly RateLimitNotice[];
	  }
	| {
			readonly type: 'crashes';
			readonly gateway: string;
			readonly notices: CrashNotices;
	  }
	| {
			readonly type: 'health';
			readonly gateway: string;
			readonly notices: readonly HealthNotice[];
	  }
	| {
			readonly type: 'answer';
			/** Number of the reservation request. */
			readonly number: number;
			readonly answer: Exclude<ReservationResult, {type: 'unanswered'}>;
	  }
	| {
			readonly type: 'proof ask';
			readonly number: number;
	  }
	| {
			readonly type: 'proof';
			/** Number of the revalidation request. */
			readonly number: number;
			readonly proof: CopyFreshness;
	  };

export function encodeMessage(message: PeerMessage): Uint8Array {
	return encode(toWire(message));
}

/** Returns undefined for bytes that are not a valid message. */
export function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
	let content: unknown;
	try {
		content = decode(bytes);
	} catch {
		return undefined;
	}

	const {data} = wireMessage.safeParse(content);
	return data && fromWire(data);
}

function toWire(message: PeerMessage): z.infer<typeof wireMessage> {
	switch (message.type) {
		case 'report': {
			const {gateway, sequence, incarnation, settledReservation} = message;
			const {loads, prefills, kept, leavingEndpoints} = message;
			return [
				messageTypes.report,
				gateway,
				sequence,
				incarnation,
				settledReservation,
				loads.map(({endpoint, running, unreadTokens}) => [
					endpoint,
					running,
					unreadTokens,
				]),
				prefills.map(({endpoint, hash, tokens, isDone}) => [
					endpoint,
					hash,
					tokens,
					Number(isDone),
				]),
				kept.map(({endpoint, leftMs, pacedMs}) => [
					endpoint,
					Math.round(leftMs),
					Math.round(pacedMs),
				]),
				leavingEndpoints.map(({endpoint, startedAt}) => [endpoint, startedAt]),
			];
		}

		case 'ask': {
			const {gateway, number, endpoint, unreadTokens, rank, kvCacheTokens} =
				message;
			return [
				messageTypes.ask,
				gateway,
				number,
				endpoint,
				Math.round(unreadTokens),
				rank,
				Math.round(kvCacheTokens),
			];
		}

		case 'answer': {
			return answerToWire(message.number, message.answer);
		}

		case 'rate limits': {
			const {gateway, notices} = message;
			return [
				messageTypes.rateLimits,
				gateway,
				notices.map(({endpoint, startedAt, perSecond, ageMs, sent}) => [
					endpoint,
					startedAt,
					perSecond ?? noLimit,
					Math.ceil(ageMs),
					sent,
				]),
			];
		}

		case 'crashes': {
			const {gateway, notices} = message;
			return [
				messageTypes.crashes,
				gateway,
				notices.crashes.map(({endpoint, startedAt, ageMs, fingerprints}) => [
					endpoint,
					startedAt,
					Math.floor(ageMs),
					[...fingerprints],
				]),
				notices.survivals.map((notice) => fingerprintToWire(notice)),
				notices.probes.map((notice) => fingerprintToWire(notice)),
			];
		}

		case 'health': {
			const {gateway, notices} = message;
			return [
				messageTypes.health,
				gateway,
				notices.map(({endpoint, startedAt, probeAgeMs, successAgeMs}) => [
					endpoint,
					startedAt,
					Math.ceil(probeAgeMs),
					successAgeMs === undefined ? noSuccess : Math.floor(successAgeMs),
				]),
			];
		}

		case 'contention': {
			return contentionToWire(message);
		}

		case 'proof ask': {
			return [messageTypes.revalidationRequest, message.number];
		}

		case 'proof': {
			const {number, proof} = message;
			return [
				messageTypes.proof,
				number,
				proof.era,
				proof.configurationVersion,
				Math.ceil(proof.configurationAgeMs),
				proof.endpointsDigest,
				Math.ceil(proof.endpointsAgeMs),
			];
		}
	}
}

function fingerprintToWire({
	fingerprint,
	ageMs,
}: FingerprintNotice): z.infer<typeof fingerprintNotice> {
	return [fingerprint, Math.ceil(ageMs)];
}

function answerToWire(
	number: number,
	answer: Exclude<ReservationResult, {type: 'unanswered'}>,
): z.infer<typeof wireMessage> {
	switch (answer.type) {
		case 'granted': {
			return [messageTypes.granted, number];
		}

		case 'denied': {
			const {leftMs, pacedMs} = answer.backlog;
			return [
				messageTypes.denied,
				number,
				Math.round(leftMs),
				Math.round(pacedMs),
			];
		}

		case 'full': {
			return [messageTypes.full, number];
		}

		case 'limited': {
			return [messageTypes.limited, number, answer.retryAfterMs];
		}
	}
}

function limited(amount: number, max: number): number {
	return Math.min(max, Math.max(0, amount));
}

function limitedBacklog(leftMs: number, pacedMs: number): Backlog {
	return {
		leftMs: limited(leftMs, maxWaitMs),
		pacedMs: limited(pacedMs, maxWaitMs),
	};
}

function fromWire(wire: z.infer<typeof wireMessage>): PeerMessage {
	switch (wire[0]) {
		case messageTypes.report: {
			const [, gateway, sequence, incarnation, settledReservation, ...lists] =
				wire;
			const [loads, prefills, kept, leavingEndpoints] = lists;
			return {
				type: 'report',
				gateway,
				sequence,
				incarnation,
				settledReservation,
				loads: loads.map(([endpoint, running, tokens]) => ({
					endpoint,
					running: limited(running, maxRunning),
					unreadTokens: limited(tokens, maxTokens),
				})),
				prefills: prefills.map(([endpoint, hash, tokens, done]) => ({
					endpoint,
					hash,
					tokens: limited(tokens, maxTokens),
					isDone: done === 1,
				})),
				kept: kept.map(([endpoint, leftMs, pacedMs]) => ({
					endpoint,
					...limitedBacklog(leftMs, pacedMs),
				})),
				leavingEndpoints: leavingEndpoints.map(([endpoint, startedAt]) => ({
					endpoint,
					startedAt,
				})),
			};
		}

		case messageTypes.ask: {
			const [, gateway, number, endpoint, tokens, rank, kvCacheTokens] = wire;
			return {
				type: 'ask',
				gateway,
				number,
				endpoint,
				unreadTokens: limited(tokens, maxTokens),
				rank,
				kvCacheTokens: limited(kvCacheTokens, maxTokens),
			};
		}

		case messageTypes.granted: {
			const [, number] = wire;
			return {type: 'answer', number, answer: {type: 'granted'}};
		}

		case messageTypes.denied: {
			const [, number, leftMs, pacedMs] = wire;
			return {
				type: 'answer',
				number,
				answer: {type: 'denied', backlog: limitedBacklog(leftMs, pacedMs)},
			};
		}

		case messageTypes.full: {
			return {type: 'answer', number: wire[1], answer: {type: 'full'}};
		}

		case messageTypes.rateLimits: {
			const [, gateway, notices] = wire;
			return {
				type: 'rate limits',
				gateway,
				notices: notices.map(
					([endpoint, startedAt, perSecond, ageMs, sent]) => ({
						endpoint,
						startedAt,
						perSecond: perSecond < 0 ? undefined : perSecond,
						ageMs,
						sent,
					}),
				),
			};
		}

		case messageTypes.crashes: {
			const [, gateway, crashes, survivals, probes] = wire;
			return {
				type: 'crashes',
				gateway,
				notices: {
					crashes: crashes.map(
						([endpoint, startedAt, ageMs, fingerprints]) => ({
							endpoint,
							startedAt,
							ageMs,
							fingerprints,
						}),
					),
					survivals: survivals.map(([fingerprint, ageMs]) => ({
						fingerprint,
						ageMs,
					})),
					probes: probes.map(([fingerprint, ageMs]) => ({fingerprint, ageMs})),
				},
			};
		}

		case messageTypes.health: {
			const [, gateway, notices] = wire;
			return {
				type: 'health',
				gateway,
				notices: notices.map(
					([endpoint, startedAt, probeAgeMs, successAgeMs]) => ({
						endpoint,
						startedAt,
						probeAgeMs,
						successAgeMs: successAgeMs < 0 ? undefined : successAgeMs,
					}),
				),
			};
		}

		case messageTypes.limited: {
			const [, number, retryAfterMs] = wire;
			return {
				type: 'answer',
				number,
				answer: {
					type: 'limited',
					retryAfterMs: limited(retryAfterMs, maxWaitMs),
				},
			};
		}

		case contentionMessageType: {
			return contentionFromWire(wire);
		}

		case messageTypes.revalidationRequest: {
			return {type: 'proof ask', number: wire[1]};
		}

		case messageTypes.proof: {
			const [, number, era, ...copies] = wire;
			const [version, configurationAgeMs, digest, endpointsAgeMs] = copies;
			return {
				type: 'proof',
				number,
				proof: {
					era,
					configurationVersion: version,
					configurationAgeMs,
					endpointsDigest: digest,
					endpointsAgeMs,
				},
			};
		}
	}
}
