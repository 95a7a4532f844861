import type {ServerResponse} from 'node:http';
import VError from 'verror';
import type {Outcome} from '../../interfaces/index.js';

/** An error in the form of the OpenAI interface, with what the router adds. */
export type ErrorAnswer = {
	readonly status: number;
	/** Machine-readable reason. */
	readonly code: string;
	readonly text: string;
	readonly outcome: Outcome;
	/** Time after which a new try is worthwhile, in milliseconds. */
	readonly retryAfterMs: number | undefined;
	/** Whether a client that repeats calls by itself may repeat this one. */
	readonly retry: boolean;
};

/** A request that the entry answers with an error before it is routed: it has not run. */
export class ApiError extends VError {
	override name = 'ApiError';

	/** HTTP status and machine-readable code of the answer. With `retryAfterMs` the caller may try again after that time in milliseconds. */
	constructor(
		readonly status: number,
		readonly code: string,
		text: string,
		readonly retryAfterMs?: number,
	) {
		super({}, '%s', text);
	}
}

/** The error that a caller is told when a request could not be routed. */
export function errorAnswerOf(error: unknown): ErrorAnswer {
	if (error instanceof ApiError) {
		const {status, code, message, retryAfterMs} = error;
		const retry = retryAfterMs !== undefined;
		return {
			status,
			code,
			text: message,
			outcome: 'not_run',
			retryAfterMs,
			retry,
		};
	}

	return {
		status: 500,
		code: 'internal_error',
		text: 'the entry failed to handle the request',
		outcome: 'not_run',
		retryAfterMs: undefined,
		retry: false,
	};
}

/** JSON body in the form of the OpenAI interface; `error.outcome` is the router's addition. */
export function errorBody(answer: ErrorAnswer): string {
	const {status, code, text, outcome} = answer;
	const type =
		status === 429
			? 'rate_limit_error'
			: status >= 500
				? 'server_error'
				: 'invalid_request_error';
	return JSON.stringify({
		error: {message: text, type, code, param: null, outcome},
	});
}

/** Answers with an error; cuts the connection when an answer has already begun. */
export function sendError(
	response: ServerResponse,
	requestId: string,
	answer: ErrorAnswer,
): void {
	if (response.headersSent || response.destroyed) {
		response.destroy();
		return;
	}

	const {retryAfterMs} = answer;
	response.writeHead(answer.status, {
		'content-type': 'application/json',
		'x-request-id': requestId,
		'x-cicadaswitch-outcome': answer.outcome,
		'x-should-retry': String(answer.retry),
		...(retryAfterMs !== undefined && {
			'retry-after': String(Math.ceil(retryAfterMs / 1000)),
			'retry-after-ms': String(Math.ceil(retryAfterMs)),
		}),
	});
	response.end(errorBody(answer));
}
