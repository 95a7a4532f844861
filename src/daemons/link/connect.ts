import {WebSocket} from 'ws';
import type {Hello} from '../../interfaces/index.js';
import {initiateHandshake} from './handshake.js';
import {Link, maxPayloadBytes} from './link.js';
import type {PeerKeys} from './peer-keys.js';

const connectTimeoutMs = 1000;

/** An open link and the authenticated identity of its peer. */
export type ConnectedLink = {readonly link: Link; readonly peer: Hello};

export type ConnectOptions = {
	readonly keys: PeerKeys;
	readonly localHello: Hello;
	/** Time without traffic or work in flight after which the link closes, in milliseconds; it stays open when absent. */
	readonly idleMs?: number;
};

/** Opens a link to a peer's address; both ends prove that they know a valid key. Rejects when the peer is unreachable, times out or fails the proof. */
export async function connect(
	address: string,
	options: ConnectOptions,
): Promise<ConnectedLink> {
	const socket = new WebSocket(`ws://${address}`, {
		handshakeTimeout: connectTimeoutMs,
		perMessageDeflate: false,
		maxPayload: maxPayloadBytes,
	});
	await new Promise<void>((resolve, reject) => {
		socket.once('open', resolve);
		socket.once('error', reject);
	});
	const link = new Link(socket, {idleMs: options.idleMs});
	try {
		return {
			link,
			peer: await initiateHandshake(link, options.keys, options.localHello),
		};
	} catch (error) {
		link.dispose();
		throw error;
	}
}
