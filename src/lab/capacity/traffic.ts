import {Buffer} from 'node:buffer';
import {createJSONRPCNotification} from 'json-rpc-2.0';
import {z} from 'zod';
import {encodeOffer} from '../../interfaces/index.js';
import type {EntryEffect} from '../../services/index.js';
import {
	callerRequest,
	endpointViews,
	newEntry,
	newSidecar,
	offerReply,
	startRequest,
} from './workload.js';

/** WebSocket header and mask of a frame that a client sends, in bytes. */
const frameBytes = 8;

const dumpSchema = z.looseObject({attempts: z.array(z.unknown())});

/** Messages and bytes that an entry exchanges with sidecars to place one request, without the answer. */
export type RequestTraffic = {
	readonly offers: number;
	/** Bytes of all offers with their replies. */
	readonly offerBytes: number;
	/** Bytes of the start message without the caller's request body. */
	readonly startBytes: number;
};

/** Size of one JSON-RPC notification on the wire, with the WebSocket header, in bytes. */
export function notificationBytes(method: string, parameters: object): number {
	const text = JSON.stringify(createJSONRPCNotification(method, parameters));
	return Buffer.byteLength(text) + frameBytes;
}

/** Counts the messages of one request at an entry with `endpoints` candidate endpoints. Deterministic. */
export function requestTraffic(endpoints: number): RequestTraffic {
	const entry = newEntry();
	for (const {name} of endpointViews(endpoints)) {
		entry.handle(
			{type: 'linkUp', endpoint: name, incarnation: 'incarnation-1'},
			0,
		);
	}

	const request = callerRequest(0, endpointViews(endpoints));
	const effects = startRequest(entry, request, 0);
	return countTraffic(effects, request.call.body);
}

function countTraffic(
	effects: readonly EntryEffect[],
	body: string,
): RequestTraffic {
	let offers = 0;
	let offerBytes = 0;
	let startBytes = 0;
	for (const effect of effects) {
		if (effect.type !== 'send') {
			continue;
		}

		if (effect.message.type === 'offer') {
			offers++;
			offerBytes +=
				notificationBytes('offer', encodeOffer(effect.message)) +
				notificationBytes('offer.reply', offerReply(effect.message.id));
		} else {
			startBytes +=
				notificationBytes('attempt.start', effect.message) -
				Buffer.byteLength(JSON.stringify(body));
		}
	}

	return {offers, offerBytes, startBytes};
}

/** Number of attempts that a sidecar still holds one hour after `count` attempts were cancelled before they started. Deterministic. */
export function retainedAttempts(count: number): number {
	const sidecar = newSidecar();
	for (let n = 0; n < count; n++) {
		const {id} = callerRequest(n, []);
		sidecar.handle(
			{
				type: 'peer',
				link: 'link-1',
				message: {type: 'cancel', attempt: `${id}.1`},
			},
			n,
		);
	}

	sidecar.handle({type: 'tick'}, count + 3_600_000);
	return dumpSchema.parse(sidecar.dump()).attempts.length;
}
