import {Buffer} from 'node:buffer';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {
	EndpointUnavailable,
	type CacheEvent,
	type Call,
	type Endpoint,
	type EndpointEvent,
	type Execution,
	type LoadReport,
} from '../ports/index.js';
import {DispatchStream, type ResponseHeaders} from './dispatch-stream.js';
import {exchangeJson, toError} from './http-json.js';

const controlTimeoutMs = 2000;
const loadSchema = z.object({running: z.number(), waiting: z.number()});

/** Headers that concern a single connection or are set by the HTTP client; they are not forwarded. */
const excludedHeaders = new Set([
	'connection',
	'content-length',
	'keep-alive',
	'transfer-encoding',
	'host',
	'upgrade',
]);

/** A plain HTTP service. Answer bodies are passed on as base64 text. */
export class HttpService implements Endpoint {
	readonly #url: string;
	readonly #pool: Dispatcher;

	constructor(url: string, pool: Dispatcher) {
		this.#url = url;
		this.#pool = pool;
	}

	run(
		call: Call,
		options: {readonly requestId: string},
		onEvent: (event: EndpointEvent) => void,
	): Execution {
		const stream = new ServiceStream(call.method, onEvent);
		this.#pool.dispatch(
			{
				origin: this.#url,
				path: call.path,
				method: call.method,
				headers: {
					...forwardedHeaders(call.headers),
					'x-request-id': options.requestId,
				},
				body: Buffer.from(call.body, call.binary ? 'base64' : 'utf8'),
				headersTimeout: 0,
				bodyTimeout: 0,
			},
			stream,
		);
		return stream;
	}

	async load(): Promise<LoadReport> {
		try {
			const answer = await exchangeJson(
				'GET',
				`${this.#url}/load`,
				undefined,
				controlTimeoutMs,
			);
			return {...loadSchema.parse(answer.body), kvTokens: 0, kvCapacity: 0};
		} catch (error) {
			throw new EndpointUnavailable(
				toError(error),
				'load request to the service failed',
			);
		}
	}

	async cacheEvents(): Promise<CacheEvent[]> {
		return [];
	}
}

class ServiceStream extends DispatchStream {
	protected override readHead(status: number, headers: ResponseHeaders): void {
		this.report({
			type: 'head',
			status,
			headers: forwardedHeaders(headers),
			binary: true,
		});
	}

	protected override readData(chunk: Uint8Array): void {
		const data = Buffer.from(chunk).toString('base64');
		this.report({type: 'chunk', data, tokens: 0});
	}

	protected override readEnd(): void {
		this.report({type: 'end'});
	}
}

function forwardedHeaders(
	headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
	return Object.fromEntries(
		Object.entries(headers)
			.filter(([name]) => !excludedHeaders.has(name.toLowerCase()))
			.map(([name, value]) => [name, String(value)]),
	);
}
