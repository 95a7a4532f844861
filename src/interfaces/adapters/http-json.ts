import {request} from 'undici';

/** Status and decoded JSON body of an HTTP answer. */
export type JsonAnswer = {readonly status: number; readonly body: unknown};

/** Sends JSON and reads JSON; rejects with the transport's error. `timeoutMs` bounds the whole exchange. */
export async function exchangeJson(
	method: 'GET' | 'POST',
	url: string,
	body: unknown,
	timeoutMs: number,
): Promise<JsonAnswer> {
	const answer = await request(url, {
		method,
		headers: {'content-type': 'application/json'},
		body: body === undefined ? null : JSON.stringify(body),
		signal: AbortSignal.timeout(timeoutMs),
	});
	return {status: answer.statusCode, body: await answer.body.json()};
}

/** The value as an error, for wrapping what a library threw. */
export function toError(error: unknown): Error {
	return error instanceof Error ? error : new Error(String(error));
}
