import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Open connections of callers, and which of them are in use. */
export class CallerConnections {
	readonly #sockets = new Set<Socket>();
	readonly #busy = new Map<Socket, number>();

	constructor(server: Server) {
		server.on('connection', (socket) => {
			this.#sockets.add(socket);
			socket.once('close', () => {
				this.#sockets.delete(socket);
				this.#busy.delete(socket);
			});
		});
		server.on('request', (request, response: ServerResponse) => {
			const {socket} = request;
			this.#busy.set(socket, (this.#busy.get(socket) ?? 0) + 1);
			response.once('close', () => {
				this.#release(socket);
			});
		});
	}

	get size(): number {
		return this.#sockets.size;
	}

	/** Closes connections without a request in order. Bytes of an answer that have not left yet still do; the server's own method drops them. */
	closeIdle(): void {
		for (const socket of this.#sockets) {
			if (!this.#busy.has(socket) && !socket.writableEnded) {
				socket.end();
			}
		}
	}

	#release(socket: Socket): void {
		const count = (this.#busy.get(socket) ?? 0) - 1;
		if (count > 0) {
			this.#busy.set(socket, count);
		} else {
			this.#busy.delete(socket);
		}
	}
}
