import {once} from 'node:events';
import {connect} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import {limitsSection} from '../../interfaces/index.js';
import {blockBeforeTimers} from '../../lab/block.js';
import {waitUntil} from '../../lab/fleet/loopback.js';
import {Catalogue} from '../../services/index.js';
import {Log} from '../log.js';
import {readSockets} from '../read-sockets.js';
import {CallerServer} from './caller-server.js';

/** Limit on idle connections, in milliseconds; Node.js keeps them for a second more. */
const idleMs = 1000;

/** Time for a request to arrive, in milliseconds. */
const requestMs = 2000;

/** Time for which the process stands still, in milliseconds: until each limit has passed and been checked. */
const stallMs = 3500;

const request = 'GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n';

/** Starts a server and opens a connection to it; `statuses` has those of the answers, and `reset` after a reset. */
async function open() {
	const server = new CallerServer({
		catalogue: new Catalogue(),
		limits: limitsSection.parse({
			header_timeout_ms: String(requestMs),
			request_timeout_ms: String(requestMs),
			idle_timeout_ms: String(idleMs),
		}),
		log: new Log({format: 'json', level: 'silent'}),
		isReady: () => true,
		onRequest: () => undefined,
		onRoute: () => undefined,
	});
	const port = await server.listen('127.0.0.1:0');
	const socket = connect(port, '127.0.0.1');
	const statuses: string[] = [];
	socket.on('data', (data) => {
		statuses.push(data.toString().slice(9, 12));
	});
	socket.on('error', () => {
		statuses.push('reset');
	});
	await once(socket, 'connect');
	return {
		socket,
		statuses,
		dispose() {
			socket.destroy();
			server.dispose();
		},
	};
}

// Guards against a request that is reset unread because the timer of its idle connection runs before the socket is read.
test('a request on an idle connection is answered although the process stands still when it arrives', async () => {
	const {socket, statuses, dispose} = await open();
	socket.write(request);
	await waitUntil('answered', () => statuses.length === 1);
	await blockBeforeTimers(stallMs, () => {
		socket.write(request);
	});
	await waitUntil('ended', () => statuses.length === 2);
	dispose();
	expect(statuses).toEqual(['200', '200']);
});

// Guards against a request that is refused as too slow because the process did not read it in time.
test('a request is answered although the process stands still between its two parts', async () => {
	const {socket, statuses, dispose} = await open();
	const parts = [request.slice(0, 20), request.slice(20)] as const;
	socket.write(parts[0]);
	await readSockets();
	await blockBeforeTimers(stallMs, () => {
		socket.write(parts[1]);
	});
	await waitUntil('ended', () => statuses.length === 1);
	dispose();
	expect(statuses).toEqual(['200']);
});

// Guards against requests without end.
test('a request that does not arrive whole is refused as late', async () => {
	const {socket, statuses, dispose} = await open();
	socket.write(request.slice(0, 20));
	await waitUntil('refused', () => statuses.length === 1);
	dispose();
	expect(statuses).toEqual(['408']);
});
