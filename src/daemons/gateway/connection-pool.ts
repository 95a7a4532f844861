import net from 'node:net';
import {Client, type Dispatcher} from 'undici';
import type {Disposable} from '../../base/index.js';
import {
	IdleConnections,
	maxIdleMs,
	type ConnectionUse,
} from '../../services/gateway/index.js';
import {splitAddress} from '../listen.js';
import {monotonicNow} from '../state-machine.js';
import type {LoopLag} from './loop-lag.js';

/** Connect timeout in milliseconds. TCP retransmits a lost first packet only after a second, so a slightly longer timeout would not help. */
const connectTimeoutMs = 400;

type ConnectCallback = (...args: [null, net.Socket] | [Error, null]) => void;

/** HTTP/1.1 connection to an endpoint, with one request at a time. */
export class Connection implements Disposable {
	/** The connection was reset, or its orderly end cannot be verified: a response that is delimited by its close is incomplete. */
	isReset = false;
	isConnected = false;
	/** Time on the monotonic clock at which the connection was established, in milliseconds. */
	openedAt = Number.POSITIVE_INFINITY;
	/** It has carried an earlier request, whose answer may arrive once more. */
	isReused = false;
	/** Time on the monotonic clock at which its last answer was complete, or at which it was opened, in milliseconds. */
	idleSince = 0;
	readonly #client: Client;
	readonly #loopLag: LoopLag;
	readonly #address: {readonly host: string; readonly port: number};
	readonly #onDidDisconnect: (connection: Connection) => void;
	/** Socket that was opened before the first request. */
	#opened: net.Socket | undefined;

	constructor(
		address: string,
		loopLag: LoopLag,
		onDidDisconnect: (connection: Connection) => void,
	) {
		this.#address = splitAddress(address);
		this.#loopLag = loopLag;
		this.#onDidDisconnect = onDidDisconnect;
		this.#client = new Client(`http://${address}`, {
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: maxIdleMs,
			connect: (_options, callback) => {
				this.#connect(callback);
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
		this.#opened?.destroy();
		this.#client.destroy(null, () => undefined);
	}

	/** Opens the socket before there is a request, for a caller that must know whether the endpoint accepts a connection; rejects when it does not. */
	async connect(): Promise<void> {
		if (this.isConnected) {
			return;
		}

		const socket = await new Promise<net.Socket>((resolve, reject) => {
			this.#open((error, opened) => {
				if (error) {
					reject(error);
				} else {
					resolve(opened);
				}
			});
		});
		this.#opened = socket;
		socket.once('close', () => {
			if (this.#opened === socket) {
				this.isConnected = false;
				this.#onDidDisconnect(this);
			}
		});
	}

	/** Hands a socket to undici: the one that has been opened before, if it still is. */
	#connect(callback: ConnectCallback): void {
		const opened = this.#opened;
		this.#opened = undefined;
		if (opened && !opened.destroyed) {
			void this.#use(opened, callback);
		} else {
			this.#open(callback);
		}
	}

	/** Opens the socket here to detect a reset, which undici treats as the end of a response without a length. */
	#open(callback: ConnectCallback): void {
		const socket = net.connect({...this.#address, noDelay: true});
		const timer = setTimeout(() => {
			void this.#timeOut(socket);
		}, connectTimeoutMs);
		const onFailure = (error: Error) => {
			clearTimeout(timer);
			callback(error, null);
		};

		socket.once('error', onFailure);
		socket.once('connect', () => {
			clearTimeout(timer);
			socket.off('error', onFailure);
			this.openedAt = monotonicNow();
			this.idleSince = this.openedAt;
			socket.on('error', () => {
				this.isReset = true;
			});
			socket.once('end', () => {
				this.isReset ||= isDisconnected(socket);
			});
			void this.#use(socket, callback);
		});
	}

	/** Ends a connection attempt, unless its success has arrived and only waits to be read. */
	async #timeOut(socket: net.Socket): Promise<void> {
		await this.#loopLag.readSockets();
		if (socket.connecting) {
			socket.destroy(
				new Error(`connection not established within ${connectTimeoutMs} ms`),
			);
		}
	}

	/** Lets the waiting request be sent, but not within the call, as undici would send nothing then. A process that is behind reads its sockets first: the caller may have disconnected meanwhile. */
	async #use(socket: net.Socket, callback: ConnectCallback): Promise<void> {
		await this.#loopLag.catchUp();
		if (socket.destroyed) {
			callback(new Error('other side closed'), null);
			return;
		}

		this.isConnected = true;
		callback(null, socket);
	}
}

/**
 * Whether an ended socket has no peer any more, although its own side is still
 * open: it was reset. Node.js reports a reset that arrives together with the last
 * data as an end without an error. The address of the peer must not have been
 * read before, as Node.js caches it.
 */
function isDisconnected(socket: net.Socket): boolean {
	return socket.remoteAddress === undefined;
}

/** What a connection is acquired for, as counted in the metrics. */
export type ConnectionPurpose = 'request' | 'hedge' | 'probe';

/** Called whenever a connection is acquired. */
export type AcquireListener = (
	purpose: ConnectionPurpose,
	origin: 'opened' | 'reused',
) => void;

/** Pool of connections of this process to one endpoint. */
export class ConnectionPool implements Disposable {
	readonly #address: string;
	readonly #loopLag: LoopLag;
	readonly #maxIdle: () => number;
	readonly #onDidAcquire: AcquireListener;
	readonly #idle = new IdleConnections<Connection>((connection) => {
		this.discard(connection);
	});

	readonly #connections = new Set<Connection>();

	/** `maxIdle` returns how many idle connections may be kept at present. */
	constructor(
		address: string,
		loopLag: LoopLag,
		maxIdle: () => number,
		onDidAcquire: AcquireListener = () => undefined,
	) {
		this.#address = address;
		this.#loopLag = loopLag;
		this.#maxIdle = maxIdle;
		this.#onDidAcquire = onDidAcquire;
	}

	/** Number of connections, idle and in use. */
	get size(): number {
		return this.#connections.size;
	}

	/** Whether an idle connection may be used, so that none has to be opened. */
	hasIdle(use: ConnectionUse): boolean {
		return this.#idle.hasFor(use, monotonicNow());
	}

	/** Returns an idle connection that is fresh enough for the use, or a new one. */
	acquire(
		use: ConnectionUse,
		purpose: ConnectionPurpose = 'request',
	): Connection {
		const connection = this.#idle.take(use, monotonicNow());
		if (!connection) {
			return this.open(purpose);
		}

		this.#onDidAcquire(purpose, 'reused');
		return connection;
	}

	/** Opens a new connection, for when an idle one may be dead without notice. */
	open(purpose: ConnectionPurpose = 'probe'): Connection {
		const connection = new Connection(
			this.#address,
			this.#loopLag,
			(disconnected) => {
				if (this.#idle.has(disconnected)) {
					this.discard(disconnected);
				}
			},
		);
		this.#connections.add(connection);
		this.#onDidAcquire(purpose, 'opened');
		return connection;
	}

	/** Returns a connection to the pool once its response has been read completely; closes the one that is idle for longest when enough are idle. */
	release(connection: Connection): void {
		connection.idleSince = monotonicNow();
		connection.isReused = true;
		this.putBack(connection);
	}

	/** Returns a connection to the pool that has been acquired but not used: it is as old as before. */
	putBack(connection: Connection): void {
		if (connection.isConnected && this.#connections.has(connection)) {
			this.#idle.add(connection, this.#maxIdle());
		} else {
			this.discard(connection);
		}
	}

	/** Closes a connection and aborts a request in progress on it. */
	discard(connection: Connection): void {
		this.#idle.delete(connection);
		this.#connections.delete(connection);
		connection.dispose();
	}

	/** Closes the idle connections; those in use are closed when they are released. */
	dispose(): void {
		for (const connection of this.#idle.clear()) {
			this.discard(connection);
		}

		this.#connections.clear();
	}
}
