import {WebSocket} from 'ws';
import {helloSchema, type Hello} from '../../platform/index.js';
import {Link} from './link.js';

const connectTimeoutMs = 1000;

/** An open link and what the other end said of itself. */
export type Connection = {readonly link: Link; readonly peer: Hello};

/** Opens a link to a peer's address and exchanges greetings; rejects when the peer does not answer in time. */
export async function connect(
	address: string,
	key: string,
	own: Hello,
): Promise<Connection> {
	const socket = new WebSocket(`ws://${address}`, {
		headers: {authorization: `Bearer ${key}`},
		handshakeTimeout: connectTimeoutMs,
		perMessageDeflate: false,
	});
	await new Promise<void>((resolve, reject) => {
		socket.once('open', resolve);
		socket.once('error', reject);
	});
	const link = new Link(socket);
	try {
		const answer = await link.request('hello', own, connectTimeoutMs);
		return {link, peer: helloSchema.parse(answer)};
	} catch (error) {
		link.dispose();
		throw error;
	}
}
