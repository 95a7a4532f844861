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

/** Maximum size of a received message, in bytes; large enough for one escaped request body of the maximum size. */
export const maxPayloadBytes = 16 * 1024 * 1024;

/** Maximum length of a batch of notifications, in UTF-16 code units. A longer one is split into several messages, so that a burst cannot exceed the peer's `maxPayloadBytes`. */
const maxBatchLength = 1024 * 1024;

/** Time without a sent message after which a link with work in flight sends a heartbeat, in milliseconds. */
const heartbeatIntervalMs = 1000;

/** Time without received data after which a link with work in flight or a reply due is aborted, in milliseconds. */
const receiveTimeoutMs = 3000;

/** Maximum time that a graceful close waits for the peer, in milliseconds. */
const closeTimeoutMs = 2000;

const checkIntervalMs = heartbeatIntervalMs / 2;

/** Handles the parameters of a JSON-RPC call and returns its result; throws when they are invalid. */
type MethodHandler = (parameters: unknown) => unknown;

type Notification = {
	readonly method: string;
	readonly parameters: () => object;
};

export type LinkOptions = {
	/** Time without traffic or work in flight after which the link closes, in milliseconds; it stays open when absent. */
	readonly idleMs?: number;
};

/** One connection between two processes of the system: JSON-RPC 2.0 over WebSocket. Notifications queued in one turn of the event loop are sent as one batch. */
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

	/** Ids of the work in flight. */
	readonly #work = new Set<string>();
	#outbox: Notification[] = [];
	#sentAt = performance.now();
	#receivedAt = performance.now();
	#checkedAt = performance.now();
	/** Time since which a reply is due; undefined when none is. Any received message clears it. */
	#replyDueSince: number | undefined;
	#isClosed = false;

	/** Fires once, when the connection has closed for any reason. */
	readonly onDidClose = this.#onDidClose.event;

	/** Fires when a received message is malformed or its handler throws. */
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
		}, checkIntervalMs);
		this.#store.add(
			toDisposable(() => {
				clearInterval(timer);
			}),
		);
	}

	/** Registers the handler of a notification or request. */
	on(method: string, handler: MethodHandler): void {
		this.#rpc.addMethod(method, handler);
	}

	/** Queues a notification for the JSON-RPC batch of this turn of the event loop. `parameters` is called when the batch is sent. */
	notify(method: string, parameters: () => object): void {
		if (this.#outbox.length === 0) {
			setImmediate(() => {
				this.#flush();
			});
		}

		this.#outbox.push({method, parameters});
	}

	/** Sends a request; rejects when the link closes or the response takes longer than `timeoutMs`. */
	async request(
		method: string,
		parameters: object,
		timeoutMs = receiveTimeoutMs,
	): Promise<unknown> {
		return this.#rpc.timeout(timeoutMs).request(method, parameters);
	}

	/** Marks work as in flight until `endWork`. While there is any, this end sends heartbeats, expects them from the peer, which marks the same work, and does not close the link as idle. */
	beginWork(workId: string): void {
		if (this.#work.size === 0) {
			this.#receivedAt = performance.now();
		}

		this.#work.add(workId);
	}

	endWork(workId: string): void {
		this.#work.delete(workId);
	}

	/** Aborts the link unless the peer sends a message within `receiveTimeoutMs`; with work in flight, a heartbeat is enough. */
	expectReply(): void {
		this.#replyDueSince ??= performance.now();
	}

	/** Sends the queued notifications and closes without waiting for the peer. */
	dispose(): void {
		this.#flush();
		this.#socket.close();
		this.#close();
	}

	/** Closes gracefully: sends the queued notifications and resolves when the connection has closed, or after `closeTimeoutMs`. */
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

	/** Terminates the connection without sending what is queued. */
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
			if (length > 0 && length + text.length > maxBatchLength) {
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
		const wasPaused = now - this.#checkedAt > receiveTimeoutMs / 2;
		this.#checkedAt = now;
		if (wasPaused) {
			// The event loop of this process was blocked or suspended; data that the peer sent meanwhile may still be unread.
			this.#receivedAt = now;
			this.#replyDueSince &&= now;
		}

		const waitingSince =
			this.#work.size > 0 ? this.#receivedAt : (this.#replyDueSince ?? now);
		const idleSince = Math.max(this.#receivedAt, this.#sentAt);
		if (now - waitingSince > receiveTimeoutMs) {
			this.abort();
		} else if (this.#work.size > 0) {
			if (now - this.#sentAt >= heartbeatIntervalMs) {
				this.#sendHeartbeat(now);
			}
		} else if (now - idleSince > this.#idleMs) {
			this.dispose();
		}
	}

	/** Sends a WebSocket ping. The peer's library answers with a pong, so that both ends receive data at a cost of 8 bytes. */
	#sendHeartbeat(now: number): void {
		if (this.#socket.readyState === this.#socket.OPEN) {
			this.#sentAt = now;
			this.#socket.ping();
		}
	}

	#onHeartbeat(): void {
		const now = performance.now();
		this.#receivedAt = now;
		// The library has already answered a ping with a pong, so this end need not send a heartbeat as well.
		this.#sentAt = now;
	}

	#close(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#rpc.rejectAllPendingRequests('link closed');
		this.#onDidClose.fire();
		this.#store.dispose();
	}
}

/** Parses a message; undefined when it is not JSON text. The JSON-RPC library validates its structure. */
function parsePayload(data: RawData): JSONRPCRequest | undefined {
	try {
		const text = Buffer.isBuffer(data) ? data.toString('utf8') : '';
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		return JSON.parse(text) as JSONRPCRequest;
	} catch {
		return undefined;
	}
}
