import {once} from 'node:events';
import {createServer} from 'node:http';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort} from '../../lab/fleet/loopback.js';
import {PeerLoads, Upstream} from '../../services/gateway/index.js';
import {ConnectionPools} from './connection-pools.js';
import type {ConnectionPool} from './connection-pool.js';
import {LoopLag} from './loop-lag.js';

/** Sends one request on a new connection, as a liveness check does, and releases the connection. */
async function probe(pool: ConnectionPool): Promise<void> {
	const connection = pool.open();
	await new Promise<void>((resolve, reject) => {
		connection.dispatch(
			{method: 'GET', path: '/', headers: []},
			{
				onRequestStart: () => undefined,
				onResponseStart: () => undefined,
				onResponseData: () => undefined,
				onResponseEnd() {
					setImmediate(() => {
						pool.release(connection);
						resolve();
					});
				},
				onResponseError(_controller, error) {
					reject(error);
				},
			},
		);
	});
}

// Guards against a pool that is kept until the process ends, because a liveness check of an endpoint goes on after its removal.
test('an endpoint that is probed after its removal has no pool and no idle connection', async () => {
	const server = createServer((_request, response) => {
		response.end('{}');
	});
	const port = await freePort();
	server.listen(port, '127.0.0.1');
	await once(server, 'listening');
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
	const lag = new LoopLag();
	const pools = new ConnectionPools(lag, () => 1);
	await probe(pools.poolFor(upstream));
	expect([pools.size, pools.poolFor(upstream).size]).toEqual([1, 1]);
	pools.remove(upstream);
	const pool = pools.poolFor(upstream);
	await probe(pool);
	expect([pools.size, pool.size]).toEqual([0, 0]);
	pools.dispose();
	lag.dispose();
	server.close();
	server.closeAllConnections();
});
