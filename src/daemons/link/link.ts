import {Buffer} from 'node:buffer';
import {performance} from 'node:perf_hooks';
import {
	createJSONRPCNotification,
	JSONRPCClient,
	JSONRPCServer,
	JSONRPCServerAndClient,
	type JSONRPCRequest,
} from 'json-rpc-2.0';
import type {RawData, WebSocket} from 'ws';
import {
	DisposableStore,
	Emitter,
	toDisposable,
	type Disposable,
} from '../../base/index.js';

/** Largest message that a peer may send, in bytes; holds one escaped body of the largest size. */
export const maxPayloadBytes = 16 * 1024 * 1024;

/** Notifications of one turn that are together larger than this, in UTF-16 code units, go out as several messages, so that a burst cannot exceed `maxPayloadBytes`. */
const batchLength = 1024 * 1024;

/** With work in flight, a link that sends nothing for this long sends a heartbeat, in milliseconds. */
const heartbeatMs = 1000;

/** With work in flight, a link on which nothing is received for this long is dead, in milliseconds. */
const silenceMs = 3000;

/** Longest time for which a graceful close waits for the other end, in milliseconds. */
const closeTimeoutMs = 2000;

const checkMs = heartbeatMs / 2;

/** Receives the parameters of a JSON-RPC call and returns its result; throws when they do not fit. */
type Receiver = (parameters: unknown) => unknown;

type Notification = {
	readonly method: string;
	readonly parameters: () => object;
};

export type LinkOptions = {
	/** The link closes after this time without work in flight, in milliseconds; stays open when absent. */
	readonly idleMs?: number;
};

/** One connection between two processes of the system: JSON-RPC 2.0 over WebSocket, notifications of one turn of the event loop sent together. */
export class Link implements Disposable {
	readonly #socket: WebSocket;
	readonly #idleMs: number;
	readonly #store = new DisposableStore();
	readonly #rpc: JSONRPCServerAndClient;
	readonly #onDidClose = this.#store.add(new Emitter<void>());
	readonly #onDidReject = this.#store.add(new Emitter<string>());
	readonly #reject = (message: string, data: unknown): void => {
		this.#onDidReject.fire(`${message}: ${String(data)}`);
	};

	/** Work in flight, by id. */
	readonly #work = new Set<string>();
	#outbox: Notification[] = [];
	#sentAt = performance.now();
	#receivedAt = performance.now();
	#checkedAt = performance.now();
	/** Since when a reply has been due; undefined when none is. */
	#replyDueSince: number | undefined;
	#closed = false;

	/** Fires once, when the connection has ended for any reason. */
	readonly onDidClose = this.#onDidClose.event;

	/** Fires when a received message was malformed or its receiver failed. */
	readonly onDidReject = this.#onDidReject.event;

	constructor(socket: WebSocket, options: LinkOptions = {}) {
		this.#socket = socket;
		this.#idleMs = options.idleMs ?? Infinity;
		this.#rpc = new JSONRPCServerAndClient(
			new JSONRPCServer({errorListener: this.#reject}),
			new JSONRPCClient((payload) => {
				this.#write(JSON.stringify(payload));
			}),
			{errorListener: this.#reject},
		);
		for (const event of ['ping', 'pong'] as const) {
			socket.on(event, () => {
				this.#onHeartbeat();
			});
		}

		socket.on('message', (data) => {
			this.#receive(data);
		});
		socket.on('close', () => {
			this.#close();
		});
		socket.on('error', () => {
			socket.terminate();
		});
		const timer = setInterval(() => {
			this.#check();
		}, checkMs);
		this.#store.add(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Registers the receiver of a notification or the answerer of a request. */
	on(method: string, receive: Receiver): void {
		this.#rpc.addMethod(method, receive);
	}

	/** Queues a notification; what is queued in one turn of the event loop goes out as one JSON-RPC batch. `parameters` is called when the batch is sent. */
	notify(method: string, parameters: () => object): void {
		if (this.#outbox.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#outbox.push({method, parameters});
	}

	/** Sends a request; rejects when the link ends or the answer takes longer than `timeoutMs`. */
	async request(
		method: string,
		parameters: object,
		timeoutMs = silenceMs,
	): Promise<unknown> {
		return this.#rpc.timeout(timeoutMs).request(method, parameters);
	}

	/** Marks work as in flight: until its release, both ends send heartbeats and expect them. */
	hold(work: string): void {
		if (this.#work.size === 0) {
			this.#receivedAt = performance.now();
		}

		this.#work.add(work);
	}

	release(work: string): void {
		this.#work.delete(work);
	}

	/** The peer is to send something now; the link is dead when it does not. */
	expectReply(): void {
		this.#replyDueSince ??= performance.now();
	}

	/** Sends what is queued and closes. */
	dispose(): void {
		this.#flush();
		this.#socket.close();
		this.#close();
	}

	/** Sends what is queued and resolves when the connection has closed, at the latest after `closeTimeoutMs`. */
	async end(): Promise<void> {
		await new Promise<void>((resolve) => {
			const timer = setTimeout(resolve, closeTimeoutMs);
			this.#socket.once('close', () => {
				clearTimeout(timer);
				resolve();
			});
			this.dispose();
		});
	}

	/** Cuts the connection at once. */
	abort(): void {
		this.#socket.terminate();
		this.#close();
	}

	#receive(data: RawData): void {
		this.#receivedAt = performance.now();
		this.#replyDueSince = undefined;
		const payload = parsePayload(data);
		if (payload === undefined) {
			this.abort();
			return;
		}

		void this.#rpc.receiveAndSend(payload);
	}

	#flush(): void {
		const outbox = this.#outbox;
		this.#outbox = [];
		let batch: string[] = [];
		let length = 0;
		for (const {method, parameters} of outbox) {
			const text = JSON.stringify(
				createJSONRPCNotification(method, parameters()),
			);
			if (length > 0 && length + text.length > batchLength) {
				this.#writeBatch(batch);
				batch = [];
				length = 0;
			}

			batch.push(text);
			length += text.length;
		}

		this.#writeBatch(batch);
	}

	#writeBatch(batch: readonly string[]): void {
		if (batch.length > 0) {
			this.#write(batch.length === 1 ? batch[0]! : `[${batch.join(',')}]`);
		}
	}

	#write(text: string): void {
		if (this.#socket.readyState === this.#socket.OPEN) {
			this.#sentAt = performance.now();
			this.#socket.send(text);
		}
	}

	#check(): void {
		const now = performance.now();
		const wasPaused = now - this.#checkedAt > silenceMs / 2;
		this.#checkedAt = now;
		if (wasPaused) {
			// This process did not run; what the peer sent meanwhile may still be unread.
			this.#receivedAt = now;
			this.#replyDueSince &&= now;
		}

		const silentSince =
			this.#work.size > 0 ? this.#receivedAt : (this.#replyDueSince ?? now);
		const idleSince = Math.max(this.#receivedAt, this.#sentAt);
		if (now - silentSince > silenceMs) {
			this.abort();
		} else if (this.#work.size > 0) {
			if (now - this.#sentAt >= heartbeatMs) {
				this.#sendHeartbeat(now);
			}
		} else if (now - idleSince > this.#idleMs) {
			this.dispose();
		}
	}

	/** A WebSocket ping, which the other end answers by itself, so that both see a sign of life for 8 bytes. */
	#sendHeartbeat(now: number): void {
		if (this.#socket.readyState === this.#socket.OPEN) {
			this.#sentAt = now;
			this.#socket.ping();
		}
	}

	#onHeartbeat(): void {
		const now = performance.now();
		this.#receivedAt = now;
		// The library has answered a ping, so this end need not send one too.
		this.#sentAt = now;
	}

	#close(): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		this.#rpc.rejectAllPendingRequests('link closed');
		this.#onDidClose.fire();
		this.#store.dispose();
	}
}

/** JSON value of a message, or undefined when it is not JSON text. The JSON-RPC library checks its shape. */
function parsePayload(data: RawData): JSONRPCRequest | undefined {
	try {
		const text = Buffer.isBuffer(data) ? data.toString('utf8') : '';
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		return JSON.parse(text) as JSONRPCRequest;
	} catch {
		return undefined;
	}
}
