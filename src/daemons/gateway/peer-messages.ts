import {decode, encode} from '@msgpack/msgpack';
import * as z from 'zod';
import type {
	CopyProof,
	PeerReport,
	RoomAnswer,
	RoomAsk,
} from '../../services/gateway/index.js';

const kinds = {
	report: 0,
	ask: 1,
	granted: 2,
	denied: 3,
	proofAsk: 4,
	proof: 5,
	full: 6,
} as const;

/** Messages on the wire: tuples without names, because every gateway sends reports to all others and the links of the smallest ones are thin. */
const wireMessage = z.union([
	z.tuple([
		z.literal(kinds.report),
		/** Gateway, sequence, incarnation, settled. */
		z.string(),
		z.number(),
		z.number(),
		z.number(),
		/** Endpoint, running requests, unread tokens. */
		z.array(z.tuple([z.number(), z.number(), z.number()])),
		/** Endpoint, hash, tokens, 1 when read and 0 when begun. */
		z.array(z.tuple([z.number(), z.number(), z.number(), z.number()])),
		/** Endpoint, time to read its prompts, the same at the pace of its answers. */
		z.array(z.tuple([z.number(), z.number(), z.number()])),
		/** Endpoint that leaves, its start. */
		z.array(z.tuple([z.number(), z.number()])),
	]),
	/** Gateway, number, endpoint, unread tokens, rank, memory tokens. */
	z.tuple([
		z.literal(kinds.ask),
		z.string(),
		z.number(),
		z.number(),
		z.number(),
		z.number(),
		z.number(),
	]),
	/** Number of the ask. */
	z.tuple([z.literal(kinds.granted), z.number()]),
	/** Number of the ask, time to read the engine's prompts, the same at the pace of its answers. */
	z.tuple([z.literal(kinds.denied), z.number(), z.number(), z.number()]),
	/** Number of the ask. */
	z.tuple([z.literal(kinds.full), z.number()]),
	/** Number of the question. */
	z.tuple([z.literal(kinds.proofAsk), z.number()]),
	/** Number of the question, era, version and age of the configuration, digest and age of the endpoints. */
	z.tuple([
		z.literal(kinds.proof),
		z.number(),
		z.number(),
		z.number(),
		z.number(),
		z.number(),
		z.number(),
	]),
]);

/** What gateways tell each other. */
export type PeerMessage =
	| ({readonly type: 'report'} & PeerReport)
	| ({readonly type: 'ask'} & RoomAsk)
	| {
			readonly type: 'answer';
			/** Number of the ask. */
			readonly number: number;
			readonly answer: Exclude<RoomAnswer, {type: 'unanswered'}>;
	  }
	| {
			readonly type: 'proof ask';
			readonly number: number;
	  }
	| {
			readonly type: 'proof';
			/** Number of the question. */
			readonly number: number;
			readonly proof: CopyProof;
	  };

export function encodeMessage(message: PeerMessage): Uint8Array {
	return encode(toWire(message));
}

/** Returns undefined for bytes that are no message. */
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
			const {gateway, sequence, incarnation, settled} = message;
			const {loads, reads, kept, leavers} = message;
			return [
				kinds.report,
				gateway,
				sequence,
				incarnation,
				settled,
				loads.map(({endpoint, running, unreadTokens}) => [
					endpoint,
					running,
					unreadTokens,
				]),
				reads.map(({endpoint, hash, tokens, isDone}) => [
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
				leavers.map(({endpoint, startedAt}) => [endpoint, startedAt]),
			];
		}

		case 'ask': {
			const {gateway, number, endpoint, unreadTokens, rank, memoryTokens} =
				message;
			return [
				kinds.ask,
				gateway,
				number,
				endpoint,
				Math.round(unreadTokens),
				rank,
				Math.round(memoryTokens),
			];
		}

		case 'answer': {
			return answerToWire(message.number, message.answer);
		}

		case 'proof ask': {
			return [kinds.proofAsk, message.number];
		}

		case 'proof': {
			const {number, proof} = message;
			return [
				kinds.proof,
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

function answerToWire(
	number: number,
	answer: Exclude<RoomAnswer, {type: 'unanswered'}>,
): z.infer<typeof wireMessage> {
	switch (answer.type) {
		case 'granted': {
			return [kinds.granted, number];
		}

		case 'denied': {
			const {leftMs, pacedMs} = answer.backlog;
			return [kinds.denied, number, Math.round(leftMs), Math.round(pacedMs)];
		}

		case 'full': {
			return [kinds.full, number];
		}
	}
}

function fromWire(wire: z.infer<typeof wireMessage>): PeerMessage {
	switch (wire[0]) {
		case kinds.report: {
			const [, gateway, sequence, incarnation, settled, ...lists] = wire;
			const [loads, reads, kept, leavers] = lists;
			return {
				type: 'report',
				gateway,
				sequence,
				incarnation,
				settled,
				loads: loads.map(([endpoint, running, unreadTokens]) => ({
					endpoint,
					running,
					unreadTokens,
				})),
				reads: reads.map(([endpoint, hash, tokens, done]) => ({
					endpoint,
					hash,
					tokens,
					isDone: done === 1,
				})),
				kept: kept.map(([endpoint, leftMs, pacedMs]) => ({
					endpoint,
					leftMs,
					pacedMs,
				})),
				leavers: leavers.map(([endpoint, startedAt]) => ({
					endpoint,
					startedAt,
				})),
			};
		}

		case kinds.ask: {
			const [, gateway, number, endpoint, unreadTokens, rank, memoryTokens] =
				wire;
			return {
				type: 'ask',
				gateway,
				number,
				endpoint,
				unreadTokens,
				rank,
				memoryTokens,
			};
		}

		case kinds.granted: {
			const [, number] = wire;
			return {type: 'answer', number, answer: {type: 'granted'}};
		}

		case kinds.denied: {
			const [, number, leftMs, pacedMs] = wire;
			return {
				type: 'answer',
				number,
				answer: {type: 'denied', backlog: {leftMs, pacedMs}},
			};
		}

		case kinds.full: {
			return {type: 'answer', number: wire[1], answer: {type: 'full'}};
		}

		case kinds.proofAsk: {
			return {type: 'proof ask', number: wire[1]};
		}

		case kinds.proof: {
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
