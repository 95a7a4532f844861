import type {Disposable} from '../../base/index.js';
import type {Upstream} from '../../services/gateway/index.js';
import {Connections} from './connections.js';

/** Connections of this process by endpoint incarnation. */
export class ConnectionDirectory implements Disposable {
	readonly #connections = new Map<Upstream, Connections>();

	of(upstream: Upstream): Connections {
		let connections = this.#connections.get(upstream);
		if (!connections) {
			connections = new Connections(upstream.listed.address);
			this.#connections.set(upstream, connections);
		}

		return connections;
	}

	/** Closes the idle connections to an endpoint that is no longer used. */
	forget(upstream: Upstream): void {
		this.#connections.get(upstream)?.dispose();
		this.#connections.delete(upstream);
	}

	dispose(): void {
		for (const connections of this.#connections.values()) {
			connections.dispose();
		}

		this.#connections.clear();
	}
}
