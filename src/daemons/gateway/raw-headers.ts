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
	return headers.some(
		(name, index) => index % 2 === 0 && name.toLowerCase() === 'content-length',
	);
}
