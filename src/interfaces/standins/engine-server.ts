import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {sendJson, StandInServer} from './http-server.js';

const callSchema = z.looseObject({
	model: z.string(),
	max_tokens: z.int().nullish(),
	max_completion_tokens: z.int().nullish(),
	continuation: z.object({text: z.string(), tokens: z.int()}).optional(),
});
type EngineCall = z.infer<typeof callSchema>;

export type EngineServerOptions = {
	/** Time from the call to the first token, in milliseconds. */
	readonly firstTokenMs: number;
	/** Time between tokens with one answer in progress, in milliseconds. */
	readonly gapMs: number;
	/** Fraction by which each further answer in progress lengthens the gap. */
	readonly batchCost: number;
	/** Tokens of an answer when the call sets no limit. */
	readonly defaultTokens: number;
	/** Size of a padding field that is added to each chunk, in bytes. */
	readonly paddingBytes?: number;
};

export const defaultEngineOptions: EngineServerOptions = {
	firstTokenMs: 20,
	gapMs: 5,
	batchCost: 0.02,
	defaultTokens: 24,
};

/** Capacity of the KV cache that `/load` reports, in tokens. */
const kvCapacity = 200_000;

/** Model engine stand-in: streams numbered words with the OpenAI HTTP interface. */
export class EngineServer extends StandInServer {
	readonly #options: EngineServerOptions;
	readonly #streams = new Set<ServerResponse>();
	/** Ids of the requests in the order in which they ran, for tests. */
	readonly executed: string[] = [];

	constructor(options: EngineServerOptions = defaultEngineOptions) {
		super((request, body, response) => {
			const [path = '/'] = (request.url ?? '/').split('?', 1);
			switch (path) {
				case '/v1/chat/completions':
				case '/v1/completions': {
					const id = String(request.headers['x-request-id']);
					this.executed.push(id);
					const call = callSchema.parse(JSON.parse(body));
					this.#stream(response, call, id, path === '/v1/chat/completions');
					break;
				}

				case '/load': {
					sendJson(response, 200, {
						running: this.#streams.size,
						waiting: 0,
						kvTokens: this.#streams.size * 500,
						kvCapacity,
					});
					break;
				}

				case '/cache-events': {
					sendJson(response, 200, {events: []});
					break;
				}

				default: {
					sendJson(response, 404, {error: 'not found'});
				}
			}
		});
		this.#options = options;
	}

	/** Number of answers in progress. */
	get running(): number {
		return this.#streams.size;
	}

	#stream(
		response: ServerResponse,
		call: EngineCall,
		id: string,
		isChat: boolean,
	): void {
		const total =
			call.max_completion_tokens ??
			call.max_tokens ??
			this.#options.defaultTokens;
		let produced = call.continuation?.tokens ?? 0;
		response.writeHead(200, {'content-type': 'text/event-stream'});
		response.flushHeaders();
		this.#streams.add(response);
		let timer: NodeJS.Timeout | undefined;
		response.once('close', () => {
			clearTimeout(timer);
			this.#streams.delete(response);
		});
		const step = () => {
			if (produced >= total) {
				response.end('data: [DONE]\n\n');
				return;
			}

			produced++;
			const {paddingBytes = 0} = this.#options;
			const data = JSON.stringify({
				...chunkOf(call.model, id, produced, {
					isChat,
					last: produced === total,
				}),
				...(paddingBytes > 0 && {padding: 'x'.repeat(paddingBytes)}),
			});
			response.write(`data: ${data}\n\n`);
			timer = setTimeout(step, this.#gapMs());
		};

		timer = setTimeout(step, this.#options.firstTokenMs);
	}

	#gapMs(): number {
		const {gapMs, batchCost} = this.#options;
		return gapMs * (1 + batchCost * (this.#streams.size - 1));
	}
}

function chunkOf(
	model: string,
	id: string,
	number: number,
	options: {readonly isChat: boolean; readonly last: boolean},
) {
	const text = `word${number} `;
	const finishReason = options.last ? 'stop' : null;
	return {
		id: `cmpl-${id}`,
		object: options.isChat ? 'chat.completion.chunk' : 'text_completion',
		created: 0,
		model,
		choices: [
			options.isChat
				? {
						index: 0,
						delta:
							number === 1
								? {role: 'assistant', content: text}
								: {content: text},
						finish_reason: finishReason,
					}
				: {index: 0, text, finish_reason: finishReason},
		],
	};
}
