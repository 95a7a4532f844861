import type {Disposable} from '../../base/index.js';
import {
	maxIdleConnections,
	type ConnectionUse,
	type Upstream,
} from '../../services/gateway/index.js';
import {
	ConnectionPool,
	type AcquireListener,
	type ConnectionPurpose,
} from './connection-pool.js';
import type {LoopLag} from './loop-lag.js';

/** Counts a connection to an endpoint of a service. */
export type CountConnection = (
	service: string,
	purpose: ConnectionPurpose,
	origin: 'opened' | 'reused',
) => void;

/** Connection pools of this process, one for each incarnation of an endpoint. */
export class ConnectionPools implements Disposable {
	readonly #pools = new Map<Upstream, ConnectionPool>();
	/** Endpoints that are no longer used, but may still be probed for the requests in progress there. */
	readonly #removed = new WeakSet<Upstream>();
	/** Number of running gateways, which share the connections of an endpoint. */
	readonly #gateways: () => number;
	readonly #loopLag: LoopLag;
	readonly #onDidAcquire: CountConnection;

	constructor(
		loopLag: LoopLag,
		gateways: () => number,
		onDidAcquire: CountConnection = () => undefined,
	) {
		this.#loopLag = loopLag;
		this.#gateways = gateways;
		this.#onDidAcquire = onDidAcquire;
	}

	/** Number of endpoints whose idle connections are kept. */
	get size(): number {
		return this.#pools.size;
	}

	/** Returns the pool of an endpoint and creates it on first use. For one that has been removed, the pool keeps no idle connections and is not kept itself. */
	poolFor(upstream: Upstream): ConnectionPool {
		const {maxConnections, listed} = upstream;
		const onDidAcquire: AcquireListener = (purpose, origin) => {
			this.#onDidAcquire(listed.service, purpose, origin);
		};

		if (this.#removed.has(upstream)) {
			return new ConnectionPool(
				listed.address,
				this.#loopLag,
				() => 0,
				onDidAcquire,
			);
		}

		let pool = this.#pools.get(upstream);
		if (!pool) {
			pool = new ConnectionPool(
				listed.address,
				this.#loopLag,
				() =>
					maxIdleConnections(
						{maxConnections, slots: listed.slots},
						this.#gateways(),
					),
				onDidAcquire,
			);
			this.#pools.set(upstream, pool);
		}

		return pool;
	}

	/** Whether a request to an endpoint would find an open connection. */
	hasIdle(upstream: Upstream, use: ConnectionUse): boolean {
		return this.#pools.get(upstream)?.hasIdle(use) ?? false;
	}

	/** Removes the pool of an endpoint that is no longer used and closes its idle connections. */
	remove(upstream: Upstream): void {
		this.#removed.add(upstream);
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
