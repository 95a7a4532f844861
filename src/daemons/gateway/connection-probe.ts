import net from 'node:net';
import {splitAddress} from '../listen.js';

/** Timeout of a connection attempt, in milliseconds. */
const connectTimeoutMs = 400;

/** Whether an address refuses connections, because no process listens there. A request would need a slot of the endpoint. Anything else, such as no reply or a reset, proves nothing and resolves to false; never rejects. */
export async function refusesConnections(address: string): Promise<boolean> {
	const {host, port} = splitAddress(address);
	return new Promise((resolve) => {
		const socket = net.connect({host, port});
		socket.setTimeout(connectTimeoutMs);
		const finish = (isRefused: boolean) => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.once('connect', () => {
			finish(false);
		});
		socket.once('timeout', () => {
			finish(false);
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED');
		});
	});
}
