import net from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {Disposable} from '../../base/index.js';
import {splitAddress} from '../listen.js';
import {monotonicNow} from '../task.js';

/** Longest time until a connection is open, in milliseconds; the network's first retransmission comes only after a second. */
const connectTimeoutMs = 400;

/** Longest idle time of a connection that may carry any request, in milliseconds; endpoints may drop older ones without notice. */
const maxIdleMs = 8000;

/** Idle time after which a connection no longer carries a request that must not be repeated, in milliseconds. */
const maxIdleOnceMs = 1000;

/** One connection to an endpoint; it carries one request at a time. */
export class Connection implements Disposable {
	/** It was reset: an answer that ends with the connection is not complete. */
	isReset = false;
	isConnected = false;
	idleSince = 0;
	readonly #client: Client;

	constructor(
		address: string,
		onDidDisconnect: (connection: Connection) => void,
	) {
		const {host, port} = splitAddress(address);
		this.#client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: maxIdleMs,
			connect: (_options, callback) => {
				this.#connect(host, port, callback);
			},
		});
		this.#client.on('disconnect', () => {
			this.isConnected = false;
			onDidDisconnect(this);
		});
	}

	dispatch(
		options: Dispatcher.DispatchOptions,
		handler: Dispatcher.DispatchHandler,
	): void {
		this.#client.dispatch(options, handler);
	}

	dispose(): void {
		this.#client.destroy(null, () => undefined);
	}

	/** Opens the socket itself, to learn of a reset: the library takes one for the end of an answer without a length. */
	#connect(
		host: string,
		port: number,
		callback: (...args: [null, net.Socket] | [Error, null]) => void,
	): void {
		const socket = net.connect({host, port, noDelay: true});
		const timer = setTimeout(() => {
			socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
		}, connectTimeoutMs);
		const onFailure = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', onFailure);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', onFailure);
			socket.on('error', () => {
				this.isReset = true;
			});
			this.isConnected = true;
			callback(null, socket);
		});
	}
}

/** Connections of this process to one endpoint. */
export class Connections implements Disposable {
	readonly #address: string;
	/** Most recently used last. */
	readonly #idle: Connection[] = [];
	readonly #all = new Set<Connection>();

	constructor(address: string) {
		this.#address = address;
	}

	get size(): number {
		return this.#all.size;
	}

	/** An idle connection, or a new one. A request that runs at most once gets one that is certainly not stale. */
	take(isOnce: boolean): Connection {
		const now = monotonicNow();
		const limit = isOnce ? maxIdleOnceMs : maxIdleMs;
		for (
			let connection = this.#idle.pop();
			connection;
			connection = this.#idle.pop()
		) {
			if (connection.isConnected && now - connection.idleSince < limit) {
				return connection;
			}

			this.discard(connection);
		}

		return this.open();
	}

	/** A new connection; a kept one may have gone silent without notice. */
	open(): Connection {
		const connection = new Connection(this.#address, (lost) => {
			if (this.#idle.includes(lost)) {
				this.discard(lost);
			}
		});
		this.#all.add(connection);
		return connection;
	}

	/** Takes back a connection whose answer has been read whole. */
	release(connection: Connection): void {
		if (!connection.isConnected || !this.#all.has(connection)) {
			this.discard(connection);
			return;
		}

		connection.idleSince = monotonicNow();
		this.#idle.push(connection);
	}

	/** Closes a connection; a request in progress on it is broken off. */
	discard(connection: Connection): void {
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
		}

		this.#all.delete(connection);
		connection.dispose();
	}

	/** Closes idle connections; those in use are closed when they are given back. */
	dispose(): void {
		for (const connection of this.#idle) {
			this.discard(connection);
		}

		this.#all.clear();
	}
}
