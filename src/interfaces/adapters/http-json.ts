import {request} from 'undici';

/** Status and decoded JSON body of an HTTP answer. */
export type JsonAnswer = {readonly status: number; readonly body: unknown};

/** Sends a JSON request and reads a JSON answer; rejects with the transport's error. `timeoutMs` limits the whole exchange. */
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

/** Converts a thrown value to an `Error`, so that it can be the cause of another one. */
export function toError(error: unknown): Error {
	return error instanceof Error ? error : new Error(String(error));
}
