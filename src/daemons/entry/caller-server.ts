import {randomUUID} from 'node:crypto';
import {
	createServer,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import type {Disposable} from '../../base/index.js';
import type {Limits} from '../../interfaces/index.js';
import type {Catalogue} from '../../services/index.js';
import {closeIdleInOrder} from '../idle-end.js';
import {listen} from '../listen.js';
import type {Log} from '../log.js';
import {readSockets} from '../read-sockets.js';
import {ApiError, errorAnswerOf, errorBody, sendError} from './api-error.js';
import {
	authenticate,
	parseModelRequest,
	parseServiceRequest,
	requireIdempotencyKey,
	type ParsedRequest,
} from './caller-request.js';
import {BodyReader} from './request-body.js';
import {parseRequestRoute, type RequestRoute} from './request-route.js';

/** Retry delay sent to callers when the entry has reached its request limit, in milliseconds. */
const busyRetryMs = 1000;

/** Code of the error by which Node.js reports a request that has not arrived in time. */
const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

export type CallerServerOptions = {
	readonly catalogue: Catalogue;
	readonly limits: Limits;
	readonly log: Log;
	/** Whether the process has loaded the configuration records and accepts new requests. */
	readonly isReady: () => boolean;
	/** Handles a validated request, and sends the response. */
	readonly onRequest: (parsed: ParsedRequest, response: ServerResponse) => void;
	/** Handles a query, a cancel or a resume of an earlier request, and sends the response. */
	readonly onRoute: (route: RequestRoute, response: ServerResponse) => void;
};

/** HTTP server for callers: enforces limits, authenticates, and dispatches requests by route. */
export class CallerServer implements Disposable {
	readonly #options: CallerServerOptions;
	readonly #server: Server;
	readonly #bodies: BodyReader;
	readonly #responses = new Set<ServerResponse>();
	/** Last request on each connection. */
	readonly #lastRequests = new WeakMap<Duplex, IncomingMessage>();
	#leaving = false;
	#onIdle: (() => void) | undefined;

	constructor(options: CallerServerOptions) {
		this.#options = options;
		const {limits} = options;
		this.#bodies = new BodyReader(limits);
		this.#server = createServer(
			{
				maxHeaderSize: limits.header_bytes,
				headersTimeout: limits.header_timeout_ms,
				requestTimeout: limits.request_timeout_ms,
				keepAliveTimeout: limits.idle_timeout_ms,
				connectionsCheckingInterval: Math.min(1000, limits.header_timeout_ms),
			},
			(request, response) => {
				void this.#onRequest(request, response);
			},
		);
		this.#server.maxConnections = limits.connections;
		closeIdleInOrder(this.#server);
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			void this.#onClientError(error, socket);
		});
	}

	/** Number of requests in progress. */
	get requests(): number {
		return this.#responses.size;
	}

	/** Total size of the request bodies held in memory, in bytes. */
	get bodyBytes(): number {
		return this.#bodies.heldBytes;
	}

	/** Starts to listen and returns the port; rejects when the address cannot be used. */
	async listen(address: string): Promise<number> {
		return listen(this.#server, address);
	}

	/** Stops accepting connections, and sends `connection: close` to callers with keep-alive connections. */
	leave(): void {
		this.#leaving = true;
		this.#server.close();
		this.#server.closeIdleConnections();
		for (const response of this.#responses) {
			if (!response.headersSent) {
				response.setHeader('connection', 'close');
			}
		}
	}

	/** Resolves when no response is in progress any more. */
	async idle(): Promise<void> {
		return new Promise((resolve) => {
			if (this.#responses.size === 0) {
				resolve();
			} else {
				this.#onIdle = resolve;
			}
		});
	}

	dispose(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #onRequest(
		message: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const id = `req-${randomUUID()}`;
		this.#lastRequests.set(message.socket, message);
		this.#track(response);
		try {
			await this.#route(message, response, id);
		} catch (error) {
			if (!message.complete) {
				// Do not wait for the rest of the request.
				response.setHeader('connection', 'close');
			}

			sendError(response, id, errorAnswerOf(error));
			if (!(error instanceof ApiError)) {
				this.#options.log.warn('request_error', {id, error: String(error)});
			}
		}
	}

	async #onClientError(
		error: NodeJS.ErrnoException,
		socket: Duplex,
	): Promise<void> {
		if (error.code !== timeoutCode || !(await this.#hasArrived(socket))) {
			refuseConnection(error, socket);
		}
	}

	/** Whether a request that counts as late turns out to have arrived while this process was busy. */
	async #hasArrived(socket: Duplex): Promise<boolean> {
		const before = this.#lastRequests.get(socket);
		const wasComplete = before?.complete;
		await readSockets();
		const request = this.#lastRequests.get(socket);
		return (
			request !== undefined &&
			request.complete &&
			!(request === before && wasComplete)
		);
	}

	#track(response: ServerResponse): void {
		this.#responses.add(response);
		if (this.#leaving) {
			response.setHeader('connection', 'close');
		}

		response.once('close', () => {
			this.#responses.delete(response);
			if (this.#leaving) {
				// A response that began before `leave` has not carried `connection: close`.
				this.#server.closeIdleConnections();
			}

			if (this.#responses.size === 0) {
				this.#onIdle?.();
			}
		});
	}

	async #route(
		message: IncomingMessage,
		response: ServerResponse,
		id: string,
	): Promise<void> {
		const path = (message.url ?? '/').split('?', 1)[0]!;
		switch (`${message.method} ${path}`) {
			case 'GET /healthz': {
				response.end('ok\n');
				break;
			}

			case 'GET /readyz': {
				const isReady = this.#options.isReady();
				response.writeHead(isReady ? 200 : 503);
				response.end(isReady ? 'ready\n' : 'not ready\n');
				break;
			}

			case 'GET /v1/models': {
				this.#sendModels(message, response);
				break;
			}

			default: {
				if (path.startsWith('/v1/requests/')) {
					this.#acceptRoute(message, response, id);
					break;
				}

				await this.#acceptRequest(message, response, id);
			}
		}
	}

	/** Reads and validates a request that is to be routed. */
	async #acceptRequest(
		message: IncomingMessage,
		response: ServerResponse,
		id: string,
	): Promise<void> {
		const {catalogue, limits, onRequest} = this.#options;
		if (this.#responses.size > limits.requests) {
			throw new ApiError(
				503,
				'entry_busy',
				`this entry has ${limits.requests} requests in progress, the most it takes`,
				busyRetryMs,
			);
		}

		const parse = parserOf(message);
		// Authenticate before reading the body: callers without a key must not occupy memory.
		authenticate(message, catalogue);
		const body = await this.#bodies.read(message);
		response.once('close', () => {
			body.release();
		});
		const parsed = parse(message, body.content(), catalogue, id);
		requireIdempotencyKey(parsed.request);
		onRequest(parsed, response);
	}

	/** Validates a call of `/v1/requests` about an earlier request. */
	#acceptRoute(
		message: IncomingMessage,
		response: ServerResponse,
		id: string,
	): void {
		const route = parseRequestRoute(message, this.#options.catalogue, id);
		if (!route) {
			throw new ApiError(404, 'not_found', `no ${message.method} here`);
		}

		this.#options.onRoute(route, response);
	}

	#sendModels(message: IncomingMessage, response: ServerResponse): void {
		const {catalogue} = this.#options;
		authenticate(message, catalogue);
		const data = catalogue.models().map((id) => ({
			id,
			object: 'model',
			created: 0,
			owned_by: 'cicadaswitch',
		}));
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({object: 'list', data}));
	}
}

/** Returns the parser for a route; throws `ApiError` 404 when there is no such route. */
function parserOf(message: IncomingMessage): typeof parseModelRequest {
	const url = message.url ?? '/';
	if (url.startsWith('/services/')) {
		return parseServiceRequest;
	}

	const path = url.split('?', 1)[0]!;
	if (
		message.method === 'POST' &&
		(path === '/v1/chat/completions' || path === '/v1/completions')
	) {
		return parseModelRequest;
	}

	throw new ApiError(404, 'not_found', `no ${message.method} ${path} here`);
}

/** Sends an error response to a request that is not valid HTTP, exceeds the header limit or does not arrive in time. */
function refuseConnection(error: NodeJS.ErrnoException, socket: Duplex): void {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const [status, phrase, code] =
		error.code === 'HPE_HEADER_OVERFLOW'
			? ([431, 'Request Header Fields Too Large', 'headers_too_large'] as const)
			: error.code === timeoutCode
				? ([408, 'Request Timeout', 'request_timeout'] as const)
				: ([400, 'Bad Request', 'bad_request'] as const);
	const body = errorBody({
		status,
		code,
		text: phrase,
		outcome: 'not_run',
		retryAfterMs: undefined,
		canRetry: false,
	});
	socket.end(
		[
			`HTTP/1.1 ${status} ${phrase}`,
			'content-type: application/json',
			`content-length: ${body.length}`,
			'x-cicadaswitch-outcome: not_run',
			'x-should-retry: false',
			'connection: close',
			'',
			body,
		].join('\r\n'),
	);
}
