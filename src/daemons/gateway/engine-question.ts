import {Buffer} from 'node:buffer';
import type {HttpFormat} from '../../interfaces/index.js';
import type {Connections} from './connections.js';

/** Longest time for an engine's state, in milliseconds; it needs no slot and takes about 1 ms. */
const timeoutMs = 400;

/** Longest state that is read, in bytes; more is no state. */
const maxStateBytes = 16 * 1024;

/** Asks an engine for its state, on a connection of its own when an idle one may have gone silent. Resolves to undefined when it does not answer; never rejects. */
export async function askEngine(
	connections: Connections,
	format: HttpFormat,
	isFresh: boolean,
): Promise<string | undefined> {
	const connection = isFresh ? connections.open() : connections.take(true);
	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		let isOver = false;
		const fail = () => {
			if (!isOver) {
				isOver = true;
				clearTimeout(timer);
				connections.discard(connection);
				resolve(undefined);
			}
		};

		const timer = setTimeout(fail, timeoutMs);
		connection.dispatch(
			{method: 'GET', path: format.enginePath, headers: []},
			{
				onRequestStart() {
					// The timeout covers the connection as well.
				},
				onResponseData(_controller, chunk) {
					length += chunk.length;
					if (length > maxStateBytes) {
						fail();
					} else {
						chunks.push(Buffer.from(chunk));
					}
				},
				onResponseEnd() {
					if (isOver) {
						return;
					}

					isOver = true;
					clearTimeout(timer);
					resolve(Buffer.concat(chunks).toString());
					setImmediate(() => {
						connections.release(connection);
					});
				},
				onResponseError: fail,
			},
		);
	});
}

/** Whether an engine answers at all. */
export async function isAlive(
	connections: Connections,
	format: HttpFormat,
): Promise<boolean> {
	return (await askEngine(connections, format, true)) !== undefined;
}
