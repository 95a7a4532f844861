import type {Buffer} from 'node:buffer';
import {createHash, timingSafeEqual} from 'node:crypto';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {WebSocketServer} from 'ws';
import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import {listen} from '../listen.js';
import {Link} from './link.js';

const maxPayloadBytes = 16 * 1024 * 1024;

/** Accepts links from peers that present one of the valid keys. */
export class LinkServer implements Disposable {
	readonly #store = new DisposableStore();
	readonly #keys: readonly string[];
	readonly #server: Server;
	readonly #sockets = new WebSocketServer({
		noServer: true,
		maxPayload: maxPayloadBytes,
		perMessageDeflate: false,
	});

	readonly #onDidAccept = this.#store.add(new Emitter<Link>());
	readonly onDidAccept = this.#onDidAccept.event;

	/** `keys` holds the current key and, during a rotation, the previous one. */
	constructor(keys: readonly string[]) {
		this.#keys = keys;
		this.#server = createServer((request, response) => {
			response.writeHead(426).end();
		});
		this.#server.on('upgrade', (request, socket, head) => {
			this.#onUpgrade(request, socket, head);
		});
	}

	/** Starts to listen; rejects when the address cannot be used. Returns the port. */
	async listen(address: string): Promise<number> {
		return listen(this.#server, address);
	}

	dispose(): void {
		this.#store.dispose();
		this.#server.close();
	}

	#onUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
		if (!this.#isAuthentic(request.headers.authorization ?? '')) {
			socket.end('HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n');
			return;
		}

		this.#sockets.handleUpgrade(request, socket, head, (webSocket) => {
			const link = this.#store.add(new Link(webSocket));
			link.onDidClose(() => {
				this.#store.delete(link);
			});
			this.#onDidAccept.fire(link);
		});
	}

	#isAuthentic(authorization: string): boolean {
		const given = digest(authorization);
		return this.#keys.some((key) =>
			timingSafeEqual(given, digest(`Bearer ${key}`)),
		);
	}
}

function digest(text: string): Uint8Array {
	return createHash('sha256').update(text).digest();
}
