import {WebSocket} from 'ws';
import type {Hello} from '../../interfaces/index.js';
import {greet} from './handshake.js';
import {Link, maxPayloadBytes} from './link.js';
import type {PeerKeys} from './peer-keys.js';

const connectTimeoutMs = 1000;

/** An open link and what the other end said of itself. */
export type Connection = {readonly link: Link; readonly peer: Hello};

export type ConnectOptions = {
	readonly keys: PeerKeys;
	readonly own: Hello;
	/** Time after which the link closes when no work is in flight, in milliseconds. */
	readonly idleMs?: number;
};

/** Opens a link to a peer's address; both ends prove that they know a valid key. Rejects when the peer does not answer in time. */
export async function connect(
	address: string,
	options: ConnectOptions,
): Promise<Connection> {
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
		return {link, peer: await greet(link, options.keys, options.own)};
	} catch (error) {
		link.dispose();
		throw error;
	}
}
