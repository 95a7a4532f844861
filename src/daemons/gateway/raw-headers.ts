import type {Dispatcher} from 'undici';
import type {RawHeaders} from '../../interfaces/index.js';

/** Decodes the raw headers of undici, which may be buffers, to strings. */
export function decodeRawHeaders(
	headers: Dispatcher.DispatchController['rawHeaders'],
): RawHeaders {
	return Array.isArray(headers)
		? headers.map((text) =>
				typeof text === 'string' ? text : text.toString('latin1'),
			)
		: [];
}

/** Whether the length of the body is stated. */
export function hasContentLength(headers: RawHeaders): boolean {
	return hasHeader(headers, 'content-length');
}

/** Whether a length or chunks mark the end of the body, and not only the close of the connection. */
export function isDelimited(headers: RawHeaders): boolean {
	return hasContentLength(headers) || hasHeader(headers, 'transfer-encoding');
}

/** `lowerCaseName` is in lower case. */
function hasHeader(headers: RawHeaders, lowerCaseName: string): boolean {
	return headers.some(
		(name, index) => index % 2 === 0 && name.toLowerCase() === lowerCaseName,
	);
}
