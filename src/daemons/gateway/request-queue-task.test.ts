import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort, waitUntil} from '../../lab/fleet/loopback.js';
import {monotonicNow} from '../state-machine.js';
import {LoopLag} from './loop-lag.js';
import {RequestQueueTask} from './request-queue-task.js';

// Guards against sending queued requests whose callers have disconnected: a gateway short of CPU time runs its timers before it reads the closed sockets.
test('a gateway that is behind detects disconnected callers before it places queued requests', async () => {
	const lag = new LoopLag();
	const queue = new RequestQueueTask(lag);
	const wasDisconnected: boolean[] = [];
	const server = createServer((request) => {
		let attempts = 0;
		queue.submit({
			rank: 0,
			arrivedAt: 0,
			lateAt: Number.POSITIVE_INFINITY,
			tryPlace() {
				attempts++;
				if (attempts > 1) {
					wasDisconnected.push(request.socket.destroyed);
				}

				return attempts > 1;
			},
		});
		const endsAt = monotonicNow() + 400;
		while (monotonicNow() < endsAt) {
			// Blocks the event loop, as in a process without CPU time.
		}
	});
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await waitUntil('listening', async () => server.listening);
	const socket = connect(port, '127.0.0.1', () => {
		socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n', () => {
			socket.destroy();
		});
	});
	await waitUntil('request placed', async () => wasDisconnected.length > 0);
	queue.dispose();
	lag.dispose();
	server.close();
	expect(wasDisconnected).toEqual([true]);
});
