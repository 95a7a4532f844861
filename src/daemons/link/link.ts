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

/** A link that sends nothing for this long sends a heartbeat, in milliseconds. */
const heartbeatMs = 1000;

/** A link on which nothing is received for this long is dead, in milliseconds. */
const silenceMs = 3000;

/** Receives the parameters of a JSON-RPC call and returns its result; throws when they do not fit. */
type Receiver = (parameters: unknown) => unknown;

type Notification = {
	readonly method: string;
	readonly parameters: () => object;
};

/** One connection between two processes of the system: JSON-RPC 2.0 over WebSocket, notifications of one turn of the event loop sent together. */
export class Link implements Disposable {
	readonly #socket: WebSocket;
	readonly #store = new DisposableStore();
	readonly #rpc: JSONRPCServerAndClient;
	readonly #onDidClose = this.#store.add(new Emitter<void>());
	#outbox: Notification[] = [];
	#sentAt = Date.now();
	#receivedAt = Date.now();
	#closed = false;

	/** Fires once, when the connection has ended for any reason. */
	readonly onDidClose = this.#onDidClose.event;

	constructor(socket: WebSocket) {
		this.#socket = socket;
		this.#rpc = new JSONRPCServerAndClient(
			new JSONRPCServer(),
			new JSONRPCClient((payload) => {
				this.#write(payload);
			}),
		);
		this.on('link.beat', () => undefined);
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
			this.#checkSilence();
		}, heartbeatMs / 2);
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

	dispose(): void {
		this.#flush();
		this.#socket.close();
		this.#close();
	}

	#receive(data: RawData): void {
		this.#receivedAt = Date.now();
		const payload = parsePayload(data);
		if (payload === undefined) {
			this.#socket.terminate();
			return;
		}

		void this.#rpc.receiveAndSend(payload);
	}

	#flush(): void {
		const batch = this.#outbox.map(({method, parameters}) =>
			createJSONRPCNotification(method, parameters()),
		);
		this.#outbox = [];
		if (batch.length > 0) {
			this.#write(batch.length === 1 ? batch[0] : batch);
		}
	}

	#write(payload: unknown): void {
		if (this.#socket.readyState === this.#socket.OPEN) {
			this.#sentAt = Date.now();
			this.#socket.send(JSON.stringify(payload));
		}
	}

	#checkSilence(): void {
		const now = Date.now();
		if (now - this.#receivedAt > silenceMs) {
			this.#socket.terminate();
			this.#close();
		} else if (now - this.#sentAt >= heartbeatMs) {
			this.notify('link.beat', () => ({}));
		}
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
		// eslint-disable-next-line @typescript-eslint/no-base-to-string, @typescript-eslint/no-unsafe-type-assertion
		return JSON.parse(data.toString()) as JSONRPCRequest;
	} catch {
		return undefined;
	}
}
