import type {HttpFormat} from '../../interfaces/index.js';
import type {Connections} from './connections.js';

/** Longest time for an engine's state, in milliseconds; it needs no slot and takes about 1 ms. */
const timeoutMs = 400;

/** Whether an engine answers a request for its state. Never rejects. */
export async function isAlive(
	connections: Connections,
	format: HttpFormat,
): Promise<boolean> {
	const connection = connections.open();
	return new Promise((resolve) => {
		const end = (isGood: boolean) => {
			clearTimeout(timer);
			resolve(isGood);
			if (!isGood) {
				connections.discard(connection);
			}
		};

		const timer = setTimeout(() => {
			end(false);
		}, timeoutMs);
		connection.dispatch(
			{method: 'GET', path: format.enginePath, headers: []},
			{
				onRequestStart() {
					// The timeout covers the connection as well.
				},
				onResponseData() {
					// Only the arrival of an answer counts.
				},
				onResponseEnd() {
					end(true);
					setImmediate(() => {
						connections.release(connection);
					});
				},
				onResponseError() {
					end(false);
				},
			},
		);
	});
}
