import type {Disposable} from '../../base/index.js';
import {
	maxIdleConnections,
	type Upstream,
} from '../../services/gateway/index.js';
import {ConnectionPool} from './connection-pool.js';
import type {LoopLag} from './loop-lag.js';

/** Connection pools of this process, one for each incarnation of an endpoint. */
export class ConnectionPools implements Disposable {
	readonly #pools = new Map<Upstream, ConnectionPool>();
	/** Number of running gateways, which share the connections of an endpoint. */
	readonly #gateways: () => number;
	readonly #loopLag: LoopLag;

	constructor(loopLag: LoopLag, gateways: () => number) {
		this.#loopLag = loopLag;
		this.#gateways = gateways;
	}

	/** Returns the pool of an endpoint and creates it on first use. */
	poolFor(upstream: Upstream): ConnectionPool {
		let pool = this.#pools.get(upstream);
		if (!pool) {
			const {maxConnections, listed} = upstream;
			pool = new ConnectionPool(listed.address, this.#loopLag, () =>
				maxIdleConnections(
					{maxConnections, slots: listed.slots},
					this.#gateways(),
				),
			);
			this.#pools.set(upstream, pool);
		}

		return pool;
	}

	/** Removes the pool of an endpoint that is no longer used and closes its idle connections. */
	remove(upstream: Upstream): void {
		this.#pools.get(upstream)?.dispose();
		this.#pools.delete(upstream);
	}

	dispose(): void {
		for (const pool of this.#pools.values()) {
			pool.dispose();
		}

		this.#pools.clear();
	}
}
