import VError from 'verror';

/** A request that the entry answers with an error before it is routed. */
export class ApiError extends VError {
	override name = 'ApiError';

	/** HTTP status and machine-readable code of the answer. */
	constructor(
		readonly status: number,
		readonly code: string,
		text: string,
	) {
		super({}, '%s', text);
	}
}

/** Error body in the form of the OpenAI interface. */
export function errorBody(status: number, code: string, text: string): string {
	const type =
		status === 429
			? 'rate_limit_error'
			: status >= 500
				? 'server_error'
				: 'invalid_request_error';
	return JSON.stringify({error: {message: text, type, code, param: null}});
}
