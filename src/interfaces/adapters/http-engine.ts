import {createParser} from 'eventsource-parser';
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
	type ResumePoint,
} from '../ports/index.js';
import {DispatchStream, type ResponseHeaders} from './dispatch-stream.js';
import {exchangeJson, toError} from './http-json.js';

const controlTimeoutMs = 2000;

const loadSchema = z.object({
	running: z.number(),
	waiting: z.number(),
	kvTokens: z.number(),
	kvCapacity: z.number(),
});
const requestBodySchema = z.record(z.string(), z.unknown());
const cacheEventsSchema = z.object({
	events: z.array(
		z.object({
			type: z.enum(['stored', 'evicted']),
			block: z.string(),
			number: z.int(),
		}),
	),
});

type RunOptions = {
	readonly requestId: string;
	readonly priority: number;
	readonly resume?: ResumePoint;
};

/** A model engine with the OpenAI HTTP interface; every call requests a streamed answer. */
export class HttpEngine implements Endpoint {
	readonly #url: string;
	readonly #pool: Dispatcher;

	constructor(url: string, pool: Dispatcher) {
		this.#url = url;
		this.#pool = pool;
	}

	run(
		call: Call,
		options: RunOptions,
		onEvent: (event: EndpointEvent) => void,
	): Execution {
		const stream = new EngineStream('POST', onEvent);
		this.#pool.dispatch(
			{
				origin: this.#url,
				path: call.path,
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					'x-request-id': options.requestId,
				},
				body: engineBody(call, options),
				// The sidecar enforces a deadline for each attempt.
				headersTimeout: 0,
				bodyTimeout: 0,
			},
			stream,
		);
		return stream;
	}

	async load(): Promise<LoadReport> {
		const answer = await this.#sendControlRequest('GET', '/load');
		return loadSchema.parse(answer.body);
	}

	async cacheEvents(after: number): Promise<CacheEvent[]> {
		const answer = await this.#sendControlRequest(
			'GET',
			`/cache-events?after=${after}`,
		);
		return cacheEventsSchema.parse(answer.body).events;
	}

	async #sendControlRequest(
		method: 'GET' | 'POST',
		path: string,
		body?: unknown,
	) {
		try {
			return await exchangeJson(
				method,
				`${this.#url}${path}`,
				body,
				controlTimeoutMs,
			);
		} catch (error) {
			throw new EndpointUnavailable(
				toError(error),
				'control request to the engine failed',
			);
		}
	}
}

/** Body for the engine: the caller's fields, plus streaming, the priority and the point from which to continue. */
function engineBody(call: Call, options: RunOptions): string {
	return JSON.stringify({
		...requestBodySchema.parse(JSON.parse(call.body)),
		stream: true,
		priority: options.priority,
		...(options.resume && {
			continuation: {text: options.resume.text, tokens: options.resume.tokens},
		}),
	});
}

/** One answer; converts server-sent events to endpoint events. */
class EngineStream extends DispatchStream {
	readonly #decoder = new TextDecoder();
	readonly #parser = createParser({
		onEvent: (event) => {
			this.#onServerEvent(event.data);
		},
	});

	#status = 0;
	#errorBody = '';

	protected override readHead(status: number, headers: ResponseHeaders): void {
		this.#status = status;
		this.report({
			type: 'head',
			status,
			headers: {'content-type': String(headers['content-type'] ?? '')},
			binary: false,
		});
	}

	protected override readData(chunk: Uint8Array): void {
		const text = this.#decoder.decode(chunk, {stream: true});
		if (this.#status === 200) {
			this.#parser.feed(text);
		} else {
			this.#errorBody += text;
		}
	}

	protected override readEnd(): void {
		if (this.#status === 200) {
			this.report({
				type: 'error',
				sent: true,
				reason: 'the engine closed the stream before its end',
			});
			return;
		}

		this.report({type: 'chunk', data: this.#errorBody, tokens: 0});
		this.report({type: 'end'});
	}

	#onServerEvent(data: string): void {
		if (data === '[DONE]') {
			this.report({type: 'end'});
		} else {
			this.report({type: 'chunk', data, tokens: 1});
		}
	}
}
