import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort, until} from '../../lab/fleet/loopback.js';
import {monotonicNow} from '../task.js';
import {LoopLag} from './loop-lag.js';
import {WaitingTask} from './waiting-task.js';

// Guards against requests that a busy gateway passes on from its queue although their callers gave up while it had not read them.
test('a gateway that is behind learns who has left before it looks at waiting requests', async () => {
	const lag = new LoopLag();
	const task = new WaitingTask(lag);
	const seen: boolean[] = [];
	const server = createServer((request) => {
		let looks = 0;
		task.enter({
			tier: 0,
			arrivedAt: 0,
			lateAt: Number.POSITIVE_INFINITY,
			tryPlace() {
				looks++;
				if (looks > 1) {
					seen.push(request.socket.destroyed);
				}

				return looks > 1;
			},
		});
		const endsAt = monotonicNow() + 400;
		while (monotonicNow() < endsAt) {
			// As without processor time.
		}
	});
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await until('listening', async () => server.listening);
	const socket = connect(port, '127.0.0.1', () => {
		socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n', () => {
			socket.destroy();
		});
	});
	await until('seen', async () => seen.length > 0);
	task.dispose();
	lag.dispose();
	server.close();
	expect(seen).toEqual([true]);
});
