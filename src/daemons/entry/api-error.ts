import type {ServerResponse} from 'node:http';
import VError from 'verror';
import type {Outcome} from '../../interfaces/index.js';

/** An error in the format of the OpenAI API, with the additions of the router. */
export type ErrorAnswer = {
	readonly status: number;
	/** Machine-readable reason. */
	readonly code: string;
	readonly text: string;
	readonly outcome: Outcome;
	/** Time after which the caller should retry, in milliseconds. */
	readonly retryAfterMs: number | undefined;
	/** Whether a client with automatic retries may retry this call. */
	readonly canRetry: boolean;
};

/** Error response of the entry to a request that it has not routed, so that the request has not run. */
export class ApiError extends VError {
	override name = 'ApiError';

	/** Takes the HTTP status and the machine-readable code of the answer. With `retryAfterMs`, in milliseconds, the caller may retry after that time. */
	constructor(
		readonly status: number,
		readonly code: string,
		text: string,
		readonly retryAfterMs?: number,
	) {
		super({}, '%s', text);
	}
}

/** Error response to a request that could not be routed. */
export function errorAnswerOf(error: unknown): ErrorAnswer {
	if (error instanceof ApiError) {
		const {status, code, message, retryAfterMs} = error;
		const canRetry = retryAfterMs !== undefined;
		return {
			status,
			code,
			text: message,
			outcome: 'not_run',
			retryAfterMs,
			canRetry,
		};
	}

	return {
		status: 500,
		code: 'internal_error',
		text: 'the entry failed to handle the request',
		outcome: 'not_run',
		retryAfterMs: undefined,
		canRetry: false,
	};
}

/** JSON body in the format of the OpenAI API; `error.outcome` is an addition of the router. */
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

/** Sends an error response; closes the connection when a response has already begun. */
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
		'x-should-retry': String(answer.canRetry),
		...(retryAfterMs !== undefined && {
			'retry-after': String(Math.ceil(retryAfterMs / 1000)),
			'retry-after-ms': String(Math.ceil(retryAfterMs)),
		}),
	});
	response.end(errorBody(answer));
}
