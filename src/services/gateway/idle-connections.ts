/** Maximum idle time of a reused connection, in milliseconds; endpoints may drop connections that are idle for longer without notice. */
export const maxIdleMs = 8000;

/** Maximum idle time of a connection that is reused for a request that must not be sent twice, in milliseconds: the endpoint resets the next send on a connection that it has dropped, and such a request would be lost. */
const maxIdleOnceMs = 1000;

/** What a connection is needed for: a request that must not be sent twice, or a request or probe that may be repeated. */
export type ConnectionUse = 'once' | 'repeatable';

/** Connection that may have been closed while it was idle. */
export type IdleConnection = {
	readonly isConnected: boolean;
	/** Time at which it last carried a complete answer, or was opened, in milliseconds. */
	readonly idleSince: number;
};

/**
 * Idle connections to one endpoint. A connection that is too old for a request
 * that must run at most once is kept for one that may be repeated, which takes it
 * first and so makes it fresh again. Needed where many gateways share many
 * endpoints: a gateway sends to each endpoint only every few seconds.
 */
export class IdleConnections<Connection extends IdleConnection> {
	/** The longest idle first. */
	readonly #connections: Connection[] = [];
	readonly #onDidExpire: (connection: Connection) => void;

	/** `onDidExpire` is called for each connection that is dropped here. */
	constructor(onDidExpire: (connection: Connection) => void) {
		this.#onDidExpire = onDidExpire;
	}

	get size(): number {
		return this.#connections.length;
	}

	has(connection: Connection): boolean {
		return this.#connections.includes(connection);
	}

	/** Adds a connection, and drops those that are idle for longest beyond `max`. */
	add(connection: Connection, max: number): void {
		const index = this.#connections.findIndex(
			({idleSince}) => idleSince > connection.idleSince,
		);
		this.#connections.splice(
			index === -1 ? this.#connections.length : index,
			0,
			connection,
		);
		while (this.#connections.length > max) {
			this.#onDidExpire(this.#connections.shift()!);
		}
	}

	/** Removes a connection that is used or closed by other means. */
	delete(connection: Connection): void {
		const index = this.#connections.indexOf(connection);
		if (index !== -1) {
			this.#connections.splice(index, 1);
		}
	}

	/** Takes a connection for a use; undefined when none is fresh enough. */
	take(use: ConnectionUse, now: number): Connection | undefined {
		this.#expire(now);
		const connection = this.#find(use, now);
		if (connection) {
			this.delete(connection);
		}

		return connection;
	}

	/** Whether there is a connection for a use. */
	hasFor(use: ConnectionUse, now: number): boolean {
		return this.#find(use, now) !== undefined;
	}

	/** Removes all connections and returns them. */
	clear(): Connection[] {
		return this.#connections.splice(0);
	}

	#find(use: ConnectionUse, now: number): Connection | undefined {
		const isFresh = (connection: Connection) =>
			connection.isConnected && now - connection.idleSince < maxIdleOnceMs;
		switch (use) {
			case 'once': {
				return this.#connections.findLast((connection) => isFresh(connection));
			}

			case 'repeatable': {
				const usable = this.#connections.filter(
					({isConnected, idleSince}) =>
						isConnected && now - idleSince < maxIdleMs,
				);
				return (
					usable.findLast((connection) => !isFresh(connection)) ?? usable.at(-1)
				);
			}
		}
	}

	/** Drops the connections that no request may use any more. */
	#expire(now: number): void {
		const expired = this.#connections.filter(
			({isConnected, idleSince}) =>
				!isConnected || now - idleSince >= maxIdleMs,
		);
		for (const connection of expired) {
			this.delete(connection);
			this.#onDidExpire(connection);
		}
	}
}
