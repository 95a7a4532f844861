import {STATUS_CODES} from 'node:http';

/** Code of the error by which Node.js reports a head that has not arrived in time. */
export const lateHeadCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Answer to bytes that are no request, which no exchange handles. */
export type CallerRefusal = {
	readonly status: 400 | 408 | 413 | 431;
	/** Code of the error in the connection or its parser. */
	readonly reason: string;
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

/** The refusal as HTTP, without a body. */
export function refusalText({status}: CallerRefusal): string {
	return [
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
		'Content-Length: 0',
		'Connection: close',
		'',
		'',
	].join('\r\n');
}
