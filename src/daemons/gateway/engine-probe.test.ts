import {createServer, type AddressInfo, type Socket} from 'node:net';
import {test} from 'node:test';
import {expect} from 'earl';
import type {HttpFormat} from '../../interfaces/index.js';
import {DisposableStore} from '../../base/index.js';
import {waitUntil} from '../../lab/fleet/loopback.js';
import {
	PeerLoads,
	Upstream,
	type ProbeOutcome,
} from '../../services/gateway/index.js';
import {ConnectionPools} from './connection-pools.js';
import type {EndpointSignals} from './endpoint-signals.js';
import {probeEngine} from './engine-probe.js';
import {LoopLag} from './loop-lag.js';

const head = 'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n';

/** Probes an engine that answers by a function of its socket. */
async function probe(
	answer: (socket: Socket) => void,
): Promise<ProbeOutcome['type']> {
	const disposables = new DisposableStore();
	const server = createServer((socket) => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			answer(socket);
		});
	});
	disposables.add({
		dispose() {
			server.close();
		},
	});
	server.listen(0, '127.0.0.1');
	await waitUntil('listening', () => server.listening);
	const {port} = server.address() as AddressInfo;
	const upstream = new Upstream(
		{
			id: 'e',
			service: 's',
			address: `127.0.0.1:${port}`,
			dataCentre: 'd',
			isDraining: false,
			slots: 8,
			startedAt: 1,
			warmUpMs: 0,
		},
		0,
		undefined,
		new PeerLoads(),
	);
	const lag = disposables.add(new LoopLag());
	const connections = disposables.add(new ConnectionPools(lag, () => 1));
	const format: Partial<HttpFormat> = {
		engineReportPath: '/',
		parseAnswer: () => undefined as never,
		parseEngineReport: () => undefined,
	};
	const {type} = await probeEngine(
		upstream,
		{
			connections,
			format: format as HttpFormat,
			signals: {applyHead: () => undefined} as unknown as EndpointSignals,
			readSockets: async () => lag.readSockets(),
		},
		{isNewConnection: true, timeoutMs: 10_000},
	);
	disposables.dispose();
	return type;
}

// Guards against a crashed engine that counts as alive because it was reset within its answer to a probe.
test('a probe whose answer has no length and is reset is not answered', async () => {
	const type = await probe((socket) => {
		socket.write(`${head}{"kv_used"`);
		socket.resetAndDestroy();
	});
	expect(type).toEqual('closed');
});

// Guards against a sound engine that counts as gone because its answers end with their connections.
test('a probe whose answer has no length and ends in order is answered', async () => {
	const type = await probe((socket) => {
		socket.end(`${head}{}`);
	});
	expect(type).toEqual('answered');
});
