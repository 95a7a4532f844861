import {once} from 'node:events';
import {createServer} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort} from '../../lab/fleet/loopback.js';
import {refusesConnections} from './connection-probe.js';

// Guards against a live server that counts as crashed, and a crashed one that does not.
test('only an address without a server refuses connections', async () => {
	const server = createServer((socket) => {
		socket.resetAndDestroy();
	});
	const port = await freePort();
	const address = `127.0.0.1:${port}`;
	expect(await refusesConnections(address)).toEqual(true);
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
	expect(await refusesConnections(address)).toEqual(false);
	server.close();
	await once(server, 'close');
	expect(await refusesConnections(address)).toEqual(true);
});
