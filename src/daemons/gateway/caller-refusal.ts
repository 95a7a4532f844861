import {Buffer} from 'node:buffer';
import {STATUS_CODES} from 'node:http';
import type {YieldReason} from '../../services/gateway/index.js';

/** Code of the error by which Node.js reports a head that has not arrived in time. */
export const lateHeadCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Answer to bytes that are no request, or to a request whose body is not read, which no exchange handles. */
export type CallerRefusal = {
	readonly status: 400 | 408 | 413 | 431 | 503;
	/** Code of the error in the connection or its parser. */
	readonly reason: string;
	/** Value of the Retry-After header, in milliseconds. */
	readonly retryAfterMs?: number;
};

/** Returns the refusal that Node.js gives by default for an error. */
export function refusalOf({code = ''}: NodeJS.ErrnoException): CallerRefusal {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW': {
			return {status: 431, reason: code};
		}

		case 'HPE_CHUNK_EXTENSIONS_OVERFLOW': {
			return {status: 413, reason: code};
		}

		case lateHeadCode: {
			return {status: 408, reason: code};
		}

		default: {
			return {status: 400, reason: code};
		}
	}
}

/** Refusal of a request whose body is too large. */
export const tooLarge: CallerRefusal = {status: 413, reason: 'body too large'};

/** Time after which a caller may return that found no room, in milliseconds. */
const noRoomRetryMs = 1000;

/** Refusal of a request whose body must make room for others. */
export function yieldRefusal(reason: YieldReason): CallerRefusal {
	switch (reason) {
		case 'stalled': {
			return {status: 408, reason: 'body stalled while others waited'};
		}

		case 'no room': {
			return {
				status: 503,
				reason: 'no memory for the body',
				retryAfterMs: noRoomRetryMs,
			};
		}
	}
}

/** The refusal as HTTP, without a body. */
export function refusalText(refusal: CallerRefusal): string {
	return message(refusal, '');
}

/** The refusal of a request as HTTP, with the reason in its body. */
export function requestRefusalText(refusal: CallerRefusal): string {
	return message(refusal, JSON.stringify({error: refusal.reason}));
}

function message({status, retryAfterMs}: CallerRefusal, body: string): string {
	return [
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
		...(body === '' ? [] : ['Content-Type: application/json']),
		`Content-Length: ${Buffer.byteLength(body)}`,
		...(retryAfterMs === undefined
			? []
			: [`Retry-After: ${(retryAfterMs / 1000).toFixed(3)}`]),
		'Connection: close',
		'',
		body,
	].join('\r\n');
}
