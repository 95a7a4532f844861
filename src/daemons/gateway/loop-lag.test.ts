import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {block} from '../../lab/block.js';
import {freePort, waitUntil} from '../../lab/fleet/loopback.js';
import {LoopLag} from './loop-lag.js';

// Guards against requests that are sent to endpoints although their callers disconnected before a busy gateway read them.
test('a process that is behind handles the disconnect of a caller before it continues', async () => {
	const lag = new LoopLag();
	const seen: boolean[] = [];
	const server = createServer((request) => {
		// Makes this turn of the event loop a late one.
		block(400);
		void lag.catchUp().then(() => {
			seen.push(request.socket.destroyed);
		});
	});
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await waitUntil('listening', async () => server.listening);
	const socket = connect(port, '127.0.0.1', () => {
		socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n', () => {
			socket.destroy();
		});
	});
	await waitUntil('seen', async () => seen.length > 0);
	lag.dispose();
	server.close();
	expect(seen).toEqual([true]);
});

// Guards against a lack of processor time that no log shows.
test('a stall of the event loop is reported with its length', async () => {
	const lag = new LoopLag();
	const stalls: number[] = [];
	lag.onDidStall = (ms) => {
		stalls.push(ms);
	};

	await new Promise((resolve) => {
		setImmediate(resolve);
	});
	block(600);
	await waitUntil('reported', async () => stalls.some((ms) => ms >= 600));
	lag.dispose();
});
