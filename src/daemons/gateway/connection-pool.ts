import net from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {Disposable} from '../../base/index.js';
import {splitAddress} from '../listen.js';
import {monotonicNow} from '../state-machine.js';
import {readSockets} from './loop-lag.js';

/** Connect timeout in milliseconds. TCP retransmits a lost first packet only after a second, so a slightly longer timeout would not help. */
const connectTimeoutMs = 400;

/** Maximum idle time of a reused connection, in milliseconds; endpoints may drop connections that are idle for longer without notice. */
const maxIdleMs = 8000;

/** Maximum idle time of a connection that is reused for a request that must not be sent twice, in milliseconds. */
const maxIdleNonIdempotentMs = 1000;

/** HTTP/1.1 connection to an endpoint, with one request at a time. */
export class Connection implements Disposable {
	/** The endpoint reset the connection: a response that is delimited by its close is incomplete. */
	isReset = false;
	isConnected = false;
	/** It has carried an earlier request, whose answer may arrive once more. */
	isReused = false;
	/** Time on the monotonic clock at which the connection was last released, in milliseconds. */
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

	/** Opens the socket here to detect a reset, which undici treats as the end of a response without a length. */
	#connect(
		host: string,
		port: number,
		callback: (...args: [null, net.Socket] | [Error, null]) => void,
	): void {
		const socket = net.connect({host, port, noDelay: true});
		const timer = setTimeout(() => {
			void destroyUnconnected(socket);
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

/** Gives up a socket, unless it has been connected while this process was busy. */
async function destroyUnconnected(socket: net.Socket): Promise<void> {
	await readSockets();
	if (socket.connecting) {
		socket.destroy(
			new Error(`connection not established within ${connectTimeoutMs} ms`),
		);
	}
}

/** Pool of connections of this process to one endpoint. */
export class ConnectionPool implements Disposable {
	readonly #address: string;
	readonly #maxIdle: () => number;
	/** Idle connections, most recently used last. */
	readonly #idle: Connection[] = [];
	readonly #connections = new Set<Connection>();

	/** `maxIdle` returns how many idle connections may be kept at present. */
	constructor(address: string, maxIdle: () => number) {
		this.#address = address;
		this.#maxIdle = maxIdle;
	}

	/** Number of connections, idle and in use. */
	get size(): number {
		return this.#connections.size;
	}

	/** Returns the most recently used idle connection, or a new one. A request that must run at most once gets a connection that was in use shortly before. */
	acquire(isNonIdempotent: boolean): Connection {
		const now = monotonicNow();
		const maxAgeMs = isNonIdempotent ? maxIdleNonIdempotentMs : maxIdleMs;
		for (
			let connection = this.#idle.pop();
			connection;
			connection = this.#idle.pop()
		) {
			if (connection.isConnected && now - connection.idleSince < maxAgeMs) {
				return connection;
			}

			this.discard(connection);
		}

		return this.open();
	}

	/** Opens a new connection, for when an idle one may be dead without notice. */
	open(): Connection {
		const connection = new Connection(this.#address, (disconnected) => {
			if (this.#idle.includes(disconnected)) {
				this.discard(disconnected);
			}
		});
		this.#connections.add(connection);
		return connection;
	}

	/** Returns a connection to the pool once its response has been read completely, or closes it when enough are idle. */
	release(connection: Connection): void {
		if (
			!connection.isConnected ||
			!this.#connections.has(connection) ||
			this.#idle.length >= this.#maxIdle()
		) {
			this.discard(connection);
			return;
		}

		connection.idleSince = monotonicNow();
		connection.isReused = true;
		this.#idle.push(connection);
	}

	/** Closes a connection and aborts a request in progress on it. */
	discard(connection: Connection): void {
		const index = this.#idle.indexOf(connection);
		if (index !== -1) {
			this.#idle.splice(index, 1);
		}

		this.#connections.delete(connection);
		connection.dispose();
	}

	/** Closes the idle connections; those in use are closed when they are released. */
	dispose(): void {
		for (const connection of this.#idle) {
			this.discard(connection);
		}

		this.#connections.clear();
	}
}
