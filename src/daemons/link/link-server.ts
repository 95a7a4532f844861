import type {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {WebSocketServer} from 'ws';
import {DisposableStore, Emitter, type Disposable} from '../../base/index.js';
import type {Hello, Limits} from '../../interfaces/index.js';
import {listen} from '../listen.js';
import {welcome} from './handshake.js';
import {Link, maxPayloadBytes} from './link.js';
import type {PeerKeys} from './peer-keys.js';

/** Time in which a peer must prove that it knows a key, in milliseconds. */
const proofTimeoutMs = 2000;

/** Bytes that a peer may send before it has proved that it knows a key. */
const unprovenBytes = 32 * 1024;

export type LinkServerOptions = {
	readonly keys: PeerKeys;
	readonly own: () => Hello;
	readonly limits: Limits;
};

/** A link whose other end has proved that it knows a key. */
export type AcceptedLink = {readonly link: Link; readonly peer: Hello};

/** Accepts links from peers that know one of the valid keys. */
export class LinkServer implements Disposable {
	readonly #options: LinkServerOptions;
	readonly #store = new DisposableStore();
	readonly #links = new Set<Link>();
	readonly #server: Server;
	readonly #sockets = new WebSocketServer({
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

	/** Starts to listen; rejects when the address cannot be used. Returns the port. */
	async listen(address: string): Promise<number> {
		return listen(this.#server, address);
	}

	/** Accepts no new links; resolves when what is queued on the present ones has been sent and they are closed. */
	async end(): Promise<void> {
		this.#server.close();
		await Promise.all([...this.#links].map(async (link) => link.end()));
	}

	dispose(): void {
		this.#store.dispose();
		this.#server.close();
	}

	#onUpgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
		this.#sockets.handleUpgrade(request, socket, head, (webSocket) => {
			// The opening side closes idle links; a longer time here finds those whose other end has vanished.
			const idleMs = this.#options.limits.link_idle_ms * 2;
			const link = this.#store.add(new Link(webSocket, {idleMs}));
			this.#links.add(link);
			link.onDidClose(() => {
				this.#links.delete(link);
				this.#store.delete(link);
			});
			this.#awaitProof(link, request.socket);
		});
	}

	#awaitProof(link: Link, socket: Socket): void {
		const timer = setTimeout(() => {
			link.abort();
		}, proofTimeoutMs);
		const limitBytes = () => {
			if (socket.bytesRead > unprovenBytes) {
				link.abort();
			}
		};

		const stop = () => {
			clearTimeout(timer);
			socket.off('data', limitBytes);
		};

		socket.on('data', limitBytes);
		link.onDidClose(stop);
		welcome(link, {
			keys: this.#options.keys,
			own: this.#options.own,
			onDidProve: (peer) => {
				stop();
				this.#onDidAccept.fire({link, peer});
			},
		});
	}
}
