import type {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {WebSocketServer} from 'ws';
import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import type {Hello, Limits} from '../../interfaces/index.js';
import {listen} from '../listen.js';
import {acceptHandshake} from './handshake.js';
import {Link, maxPayloadBytes} from './link.js';
import type {PeerKeys} from './peer-keys.js';

/** Time within which a peer must prove that it knows a key, in milliseconds. */
const authenticationTimeoutMs = 2000;

/** Maximum number of bytes that a peer may send before it has proved that it knows a key. */
const maxUnauthenticatedBytes = 32 * 1024;

export type LinkServerOptions = {
	readonly keys: PeerKeys;
	readonly localHello: () => Hello;
	readonly limits: Limits;
};

/** A link whose peer has proved that it knows a key, and the peer's identity. */
export type AcceptedLink = {readonly link: Link; readonly peer: Hello};

/** Accepts links from peers that know one of the valid keys. */
export class LinkServer implements Disposable {
	readonly #options: LinkServerOptions;
	readonly #store = new DisposableStore();
	readonly #links = new Set<Link>();
	readonly #server: Server;
	readonly #webSocketServer = new WebSocketServer({
		noServer: true,
		maxPayload: maxPayloadBytes,
		perMessageDeflate: false,
	});

	readonly #onDidAccept = this.#store.add(new Emitter<AcceptedLink>());
	readonly onDidAccept = this.#onDidAccept.event;

	constructor(options: LinkServerOptions) {
		this.#options = options;
		const {limits} = options;
		this.#server = createServer(
			{
				maxHeaderSize: limits.header_bytes,
				headersTimeout: limits.header_timeout_ms,
				requestTimeout: limits.header_timeout_ms,
			},
			(request, response) => {
				response.writeHead(426, {connection: 'close'}).end();
			},
		);
		this.#server.maxConnections = limits.connections;
		this.#server.on('upgrade', (request, socket, head) => {
			this.#onUpgrade(request, socket, head);
		});
	}

	/** Starts to listen and resolves to the port; rejects when the address cannot be bound. */
	async listen(address: string): Promise<number> {
		return listen(this.#server, address);
	}

	/** Stops accepting links and closes the open ones gracefully; resolves when they are closed. */
	async end(): Promise<void> {
		this.#server.close();
		await Promise.all([...this.#links].map(async (link) => link.end()));
	}

	dispose(): void {
		this.#store.dispose();
		this.#server.close();
	}

	#onUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
		this.#webSocketServer.handleUpgrade(request, socket, head, (webSocket) => {
			// The connecting side closes idle links. The longer timeout here closes those whose peer has disappeared.
			const idleMs = this.#options.limits.link_idle_ms * 2;
			const link = this.#store.add(new Link(webSocket, {idleMs}));
			this.#links.add(link);
			link.onDidClose(() => {
				this.#links.delete(link);
				this.#store.delete(link);
			});
			this.#authenticate(link, request.socket);
		});
	}

	/** Closes the link unless the peer proves a key within the limits of time and bytes. */
	#authenticate(link: Link, socket: Socket): void {
		const timer = setTimeout(() => {
			link.abort();
		}, authenticationTimeoutMs);
		const limitBytes = () => {
			if (socket.bytesRead > maxUnauthenticatedBytes) {
				link.abort();
			}
		};

		const stop = () => {
			clearTimeout(timer);
			socket.off('data', limitBytes);
		};

		socket.on('data', limitBytes);
		link.onDidClose(stop);
		acceptHandshake(link, {
			keys: this.#options.keys,
			localHello: this.#options.localHello,
			onDidProve: (peer) => {
				stop();
				this.#onDidAccept.fire({link, peer});
			},
		});
	}
}
