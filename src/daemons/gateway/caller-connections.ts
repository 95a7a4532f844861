import {once} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {closeInOrder, hasStayedIdle} from '../idle-end.js';
import {readSockets} from '../read-sockets.js';
import {monotonicNow} from '../state-machine.js';
import {CallerInput} from './caller-input.js';
import type {CallerMemory} from './caller-memory.js';
import {
	lateHeadCode,
	refusalOf,
	refusalText,
	requestRefusalText,
	type CallerRefusal,
} from './caller-refusal.js';

/** Time that the Keep-Alive header adds to the idle timeout of the configuration, in milliseconds. */
const announcedMarginMs = 2000;

/** Time for which an idle connection stays open beyond that timeout, in milliseconds: a second more than announced, for requests on the way. */
const closeMarginMs = 3000;

/** Connections beyond the limit that may be closing, or be accepted while none is idle. */
const closingConnections = 32;

export type CallerConnectionsOptions = {
	/** Time for which connections may be idle at first, in milliseconds. */
	readonly idleTimeoutMs: number;
	readonly memory: CallerMemory;
	/** Called for each connection that is refused. */
	readonly onDidRefuse: (refusal: CallerRefusal) => void;
};

type Connection = {
	readonly input: CallerInput;
	/** Number of requests whose heads have been read. */
	heads: number;
	/** Responses that have not ended, in the order of their requests. */
	readonly responses: Set<ServerResponse>;
	lastResponse: ServerResponse | undefined;
	/** Error for which the connection is refused once the requests that have been read are answered. */
	error: NodeJS.ErrnoException | undefined;
	/** Bytes that had been read at the end of the last request. */
	bytesRead: number;
	/** Time on the monotonic clock at which the connection fell idle, in milliseconds. */
	idleSince: number;
	/** Largest idle timeout that has been in force since the last request arrived, in milliseconds: the caller may know any of them. */
	idleTimeoutMs: number;
};

/** Tracks the open connections of callers and the requests in progress on each, and closes those that are idle for too long or carry no valid requests. */
export class CallerConnections {
	readonly #server: Server;
	readonly #onDidRefuse: CallerConnectionsOptions['onDidRefuse'];
	readonly #memory: CallerMemory;
	readonly #connections = new Map<Socket, Connection>();
	#idleTimeoutMs = 0;

	constructor(
		server: Server,
		{idleTimeoutMs, memory, onDidRefuse}: CallerConnectionsOptions,
	) {
		this.#server = server;
		this.#onDidRefuse = onDidRefuse;
		this.#memory = memory;
		server.maxConnections = memory.maxConnections + closingConnections;
		this.setIdleTimeout(idleTimeoutMs);
		server.on('connection', (socket) => {
			this.#add(socket);
		});
		server.on('request', (request: IncomingMessage, response) => {
			this.#begin(request, response);
		});
		// With listeners, Node.js leaves the end of the connection to them.
		server.on('timeout', (socket: Socket) => {
			void this.#closeExpired(socket);
		});
		server.on('clientError', (error, socket) => {
			if (socket instanceof Socket) {
				void this.#onError(error, socket);
			}
		});
	}

	get size(): number {
		return this.#connections.size;
	}

	/** Sets the time for which connections may be idle, in milliseconds. A lower one applies to a connection from its next request. */
	setIdleTimeout(idleTimeoutMs: number): void {
		this.#idleTimeoutMs = idleTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs + announcedMarginMs;
		for (const connection of this.#connections.values()) {
			connection.idleTimeoutMs = Math.max(
				connection.idleTimeoutMs,
				idleTimeoutMs,
			);
		}
	}

	/**
	 * Waits until the responses to earlier requests on the connection have
	 * ended. Resolves to false when the connection carries no further response:
	 * it is being closed, or a response before this one was its last.
	 */
	async waitForTurn(
		socket: Socket,
		response: ServerResponse,
	): Promise<boolean> {
		const connection = this.#connections.get(socket);
		if (!connection) {
			return false;
		}

		const previous = connection.lastResponse;
		connection.lastResponse = response;
		if (previous && !previous.writableFinished && !previous.destroyed) {
			await once(previous, 'close');
		}

		return !socket.writableEnded && !socket.destroyed;
	}

	/** Input of an open connection. */
	input(socket: Socket): CallerInput | undefined {
		return this.#connections.get(socket)?.input;
	}

	/** Refuses a request whose body is not read any further. Nothing more is parsed, and the connection is closed in order. */
	refuseRequest(socket: Socket, refusal: CallerRefusal): void {
		this.input(socket)?.refuse(requestRefusalText(refusal));
		this.#onDidRefuse(refusal);
	}

	/** Closes connections on which no request is in progress or has begun to arrive, after their buffered response bytes have been sent; `server.closeIdleConnections` would drop these. */
	closeIdle(): void {
		for (const [socket, connection] of this.#connections) {
			if (isIdle(socket, connection) && !socket.writableEnded) {
				socket.end();
			}
		}
	}

	#add(socket: Socket): void {
		this.#makeRoom();
		this.#connections.set(socket, {
			input: new CallerInput(socket, this.#memory),
			heads: 0,
			responses: new Set(),
			lastResponse: undefined,
			error: undefined,
			bytesRead: 0,
			idleSince: monotonicNow(),
			idleTimeoutMs: this.#idleTimeoutMs,
		});
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
	}

	#begin(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const connection = this.#connections.get(socket);
		if (!connection) {
			return;
		}

		if (connection.responses.size === 0) {
			connection.idleTimeoutMs = this.#idleTimeoutMs;
		}

		connection.heads++;
		connection.input.begin(request);
		connection.error = undefined;
		connection.responses.add(response);
		response.once('close', () => {
			connection.responses.delete(response);
			if (connection.responses.size === 0) {
				connection.bytesRead =
					socket.bytesRead - connection.input.unparsedBytes;
				connection.idleSince = monotonicNow();
			}

			if (connection.error) {
				this.#refuse(connection.error, socket, connection);
			}

			connection.input.end();
		});
	}

	/** Closes the connection that has been idle for longest when callers have as many as they may have. One that never carried a request has no answer on its way. */
	#makeRoom(): void {
		if (this.#connections.size < this.#memory.maxConnections) {
			return;
		}

		let longest: [Socket, Connection] | undefined;
		for (const [socket, connection] of this.#connections) {
			if (
				isIdle(socket, connection) &&
				!socket.writableEnded &&
				!(longest && longest[1].idleSince <= connection.idleSince)
			) {
				longest = [socket, connection];
			}
		}

		if (longest) {
			const [socket, {heads}] = longest;
			this.#onDidRefuse({status: 503, reason: 'too many connections'});
			if (heads === 0) {
				socket.destroy();
			} else {
				closeInOrder(socket);
			}
		}
	}

	/** Closes a connection when its idle time is over. The timer of Node.js may know a shorter one, and may run before a request that has arrived is read. */
	async #closeExpired(socket: Socket): Promise<void> {
		const connection = this.#connections.get(socket);
		if (!connection || !(await hasStayedIdle(socket))) {
			return;
		}

		const remainingMs =
			connection.idleSince +
			connection.idleTimeoutMs +
			closeMarginMs -
			monotonicNow();
		if (remainingMs > 0) {
			socket.setTimeout(Math.ceil(remainingMs));
		} else {
			closeInOrder(socket);
		}
	}

	async #onError(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
		const connection = this.#connections.get(socket);
		if (!connection) {
			socket.destroy();
			return;
		}

		if (
			error.code !== lateHeadCode ||
			!(await this.#hasArrived(socket, connection))
		) {
			this.#refuse(error, socket, connection);
		}
	}

	/** Whether a late head turns out to have arrived while this process was busy. The first head on a connection may at least have begun to, and then has its whole time: Node.js measures the time from the start of the connection. */
	async #hasArrived(socket: Socket, connection: Connection): Promise<boolean> {
		const {heads} = connection;
		const wasSilent = socket.bytesRead === 0;
		await readSockets();
		if (wasSilent && socket.bytesRead > 0 && connection.heads === heads) {
			await delay(this.#server.headersTimeout, undefined, {ref: false});
			await readSockets();
		}

		return connection.heads > heads;
	}

	/** Refuses what is no valid request, after the answers to the requests before it: their callers would take the refusal for one of them. */
	#refuse(
		error: NodeJS.ErrnoException,
		socket: Socket,
		connection: Connection,
	): void {
		if (socket.destroyed || socket.writableEnded) {
			return;
		}

		const isAwaited = [...connection.responses].some(({req}) => req.complete);
		if (!socket.writable || (isAwaited && socket.readableEnded)) {
			socket.destroy();
			return;
		}

		connection.error ??= error;
		if (isAwaited) {
			return;
		}

		const refusal = refusalOf(connection.error);
		connection.input.refuse(refusalText(refusal));
		this.#onDidRefuse(refusal);
	}
}

function isIdle(socket: Socket, {responses, bytesRead}: Connection): boolean {
	return responses.size === 0 && socket.bytesRead === bytesRead;
}
