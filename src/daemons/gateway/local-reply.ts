import {Buffer} from 'node:buffer';
import type {CallerOutput} from './caller-output.js';

/** Response that the gateway generates itself instead of passing on an endpoint's. */
export type LocalReply = {
	readonly status: 400 | 401 | 404 | 413 | 431 | 502 | 503 | 504;
	readonly reason: string;
	/** Value of the Retry-After header, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Closes the connection, so that the caller opens a new one, which may reach another gateway. */
	readonly isLastOnConnection?: boolean;
};

/** Sends the response as JSON, unless an earlier one has been started or the caller has left. */
export function sendLocalReply(output: CallerOutput, reply: LocalReply): void {
	if (output.isClosed || output.hasSentHeaders) {
		return;
	}

	const body = Buffer.from(JSON.stringify({error: reply.reason}));
	const headers = [
		'Content-Type',
		'application/json',
		'Content-Length',
		String(body.length),
	];
	if (reply.retryAfterMs !== undefined) {
		headers.push('Retry-After', (reply.retryAfterMs / 1000).toFixed(3));
	}

	if (reply.isLastOnConnection) {
		output.disableKeepAlive();
	}

	output.send(reply.status, headers, body);
}
