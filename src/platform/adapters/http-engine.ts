import {createParser} from 'eventsource-parser';
import type {Dispatcher} from 'undici';
import {z} from 'zod';
import {
	CommandFenced,
	EndpointUnavailable,
	type CacheEvent,
	type Call,
	type Endpoint,
	type EndpointEvent,
	type EngineCommand,
	type Execution,
	type LoadReport,
	type ResumePoint,
} from '../ports/index.js';
import {exchangeJson, toError} from './http-json.js';

const controlTimeoutMs = 2000;

const loadSchema = z.object({
	running: z.number(),
	waiting: z.number(),
	kvTokens: z.number(),
	kvCapacity: z.number(),
});
const bodySchema = z.record(z.string(), z.unknown());
const cacheSchema = z.object({
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

/** A model engine with the OpenAI HTTP interface, always asked for a stream. */
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
		const stream = new EngineStream(onEvent);
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
				// The sidecar bounds each attempt by its own deadline.
				headersTimeout: 0,
				bodyTimeout: 0,
			},
			stream,
		);
		return stream;
	}

	async load(): Promise<LoadReport> {
		const answer = await this.#control('GET', '/load');
		return loadSchema.parse(answer.body);
	}

	async cacheEvents(after: number): Promise<CacheEvent[]> {
		const answer = await this.#control('GET', `/cache-events?after=${after}`);
		return cacheSchema.parse(answer.body).events;
	}

	async command(command: EngineCommand): Promise<void> {
		const answer = await this.#control('POST', '/commands', command);
		if (answer.status === 409) {
			throw new CommandFenced(
				'engine rejected fencing token %d',
				command.fencingToken,
			);
		}

		if (answer.status >= 400) {
			throw new EndpointUnavailable(
				'command answered with status %d',
				answer.status,
			);
		}
	}

	async #control(method: 'GET' | 'POST', path: string, body?: unknown) {
		try {
			return await exchangeJson(
				method,
				`${this.#url}${path}`,
				body,
				controlTimeoutMs,
			);
		} catch (error) {
			throw new EndpointUnavailable(toError(error), 'engine not reached');
		}
	}
}

/** Body for the engine: the caller's own fields with streaming, priority and the point to continue from. */
function engineBody(call: Call, options: RunOptions): string {
	return JSON.stringify({
		...bodySchema.parse(JSON.parse(call.body)),
		stream: true,
		priority: options.priority,
		...(options.resume && {
			continuation: {text: options.resume.text, tokens: options.resume.tokens},
		}),
	});
}

/** One answer: turns server-sent events into endpoint events. */
class EngineStream implements Dispatcher.DispatchHandler, Execution {
	readonly #onEvent: (event: EndpointEvent) => void;
	readonly #decoder = new TextDecoder();
	readonly #parser = createParser({
		onEvent: (event) => {
			this.#onData(event.data);
		},
	});

	#controller: Dispatcher.DispatchController | undefined;
	#status = 0;
	#errorBody = '';
	#sent = false;
	#ended = false;
	#cancelled = false;

	constructor(onEvent: (event: EndpointEvent) => void) {
		this.#onEvent = onEvent;
	}

	cancel(): void {
		this.#cancelled = true;
		this.#ended = true;
		this.#controller?.abort(new Error('cancelled'));
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#cancelled) {
			controller.abort(new Error('cancelled'));
			return;
		}

		this.#sent = true;
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		headers: Record<string, string | string[] | undefined>,
	): void {
		this.#status = status;
		this.#onEvent({
			type: 'head',
			status,
			headers: {'content-type': String(headers['content-type'] ?? '')},
			binary: false,
		});
	}

	onResponseData(
		controller: Dispatcher.DispatchController,
		chunk: Uint8Array,
	): void {
		const text = this.#decoder.decode(chunk, {stream: true});
		if (this.#status === 200) {
			this.#parser.feed(text);
		} else {
			this.#errorBody += text;
		}
	}

	onResponseEnd(): void {
		if (this.#ended) {
			return;
		}

		if (this.#status === 200) {
			this.#finish({
				type: 'error',
				sent: true,
				reason: 'the engine closed the stream before its end',
			});
			return;
		}

		this.#onEvent({type: 'chunk', data: this.#errorBody, tokens: 0});
		this.#finish({type: 'end'});
	}

	onResponseError(
		controller: Dispatcher.DispatchController,
		error: Error,
	): void {
		this.#finish({type: 'error', sent: this.#sent, reason: error.message});
	}

	#onData(data: string): void {
		if (this.#ended) {
			return;
		}

		if (data === '[DONE]') {
			this.#finish({type: 'end'});
		} else {
			this.#onEvent({type: 'chunk', data, tokens: 1});
		}
	}

	#finish(event: EndpointEvent): void {
		if (!this.#ended) {
			this.#ended = true;
			this.#onEvent(event);
		}
	}
}
