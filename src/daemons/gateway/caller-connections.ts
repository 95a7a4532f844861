import {once} from 'node:events';
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Tracks the open connections of callers and the number of requests in progress on each. */
export class CallerConnections {
	readonly #sockets = new Set<Socket>();
	readonly #requestCounts = new Map<Socket, number>();
	readonly #lastResponses = new Map<Socket, ServerResponse>();
	/** Bytes that had been read from each connection at the end of its last request. */
	readonly #bytesRead = new Map<Socket, number>();

	constructor(server: Server) {
		server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				this.#requestCounts.delete(socket);
				this.#bytesRead.delete(socket);
				this.#lastResponses.delete(socket);
			});
		});
		server.on('request', (request, response: ServerResponse) => {
			const {socket} = request;
			this.#requestCounts.set(
				socket,
				(this.#requestCounts.get(socket) ?? 0) + 1,
			);
			response.once('close', () => {
				this.#release(socket);
			});
		});
	}

	get size(): number {
		return this.#sockets.size;
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
		const previous = this.#lastResponses.get(socket);
		this.#lastResponses.set(socket, response);
		if (previous && !previous.writableFinished && !previous.destroyed) {
			await once(previous, 'close');
		}

		return !socket.writableEnded && !socket.destroyed;
	}

	/** Closes connections on which no request is in progress or has begun to arrive, after their buffered response bytes have been sent; `server.closeIdleConnections` would drop these. */
	closeIdle(): void {
		for (const socket of this.#sockets) {
			if (this.#isIdle(socket) && !socket.writableEnded) {
				socket.end();
			}
		}
	}

	#isIdle(socket: Socket): boolean {
		return (
			!this.#requestCounts.has(socket) &&
			socket.bytesRead === (this.#bytesRead.get(socket) ?? 0)
		);
	}

	#release(socket: Socket): void {
		const count = (this.#requestCounts.get(socket) ?? 0) - 1;
		if (count > 0) {
			this.#requestCounts.set(socket, count);
		} else {
			this.#requestCounts.delete(socket);
			this.#bytesRead.set(socket, socket.bytesRead);
		}
	}
}
