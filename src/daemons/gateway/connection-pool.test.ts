import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {ConnectionPool} from './connection-pool.js';

/** Longer than the time that a connection may take to be established, in milliseconds. */
const busyMs = 600;

/** Blocks the event loop, as a lack of processor time does. */
function block(ms: number): void {
	const endsAt = performance.now() + ms;
	while (performance.now() < endsAt) {
		// Busy wait.
	}
}

// Guards against a sound endpoint that is ejected, and its request lost, because this process was busy while the connection was established.
test('a connection that is established while the process is busy is used', async () => {
	const server = createServer((socket) => {
		socket.once('data', () => {
			socket.end('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	const pool = new ConnectionPool(`127.0.0.1:${port}`, () => 1);
	const connection = pool.open();
	const outcome = new Promise<string>((resolve) => {
		connection.dispatch(
			{method: 'GET', path: '/', headers: []},
			{
				onRequestStart() {
					// Undici takes a handler without it for one of another kind.
				},
				onResponseEnd() {
					resolve('answered');
				},
				onResponseError(_controller, error) {
					resolve(error.message);
				},
			},
		);
		setImmediate(() => {
			block(busyMs);
		});
	});
	expect(await outcome).toEqual('answered');
	pool.discard(connection);
	server.close();
});
