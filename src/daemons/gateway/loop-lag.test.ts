import {createServer} from 'node:http';
import {connect} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort, until} from '../../lab/fleet/loopback.js';
import {monotonicNow} from '../task.js';
import {LoopLag} from './loop-lag.js';

/** Keeps the process busy, as a lack of processor time does. */
function block(ms: number): void {
	const endsAt = monotonicNow() + ms;
	while (monotonicNow() < endsAt) {
		// Nothing else runs meanwhile.
	}
}

// Guards against requests that are passed on although their callers gave up while a busy gateway had not read them.
test('a process that is behind learns that a caller has left before it goes on', async () => {
	const lag = new LoopLag();
	const seen: boolean[] = [];
	const server = createServer((request) => {
		// As if the turn had begun long ago.
		block(400);
		void lag.catchUp().then(() => {
			seen.push(request.socket.destroyed);
		});
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
	lag.dispose();
	server.close();
	expect(seen).toEqual([true]);
});
