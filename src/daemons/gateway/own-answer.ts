import {Buffer} from 'node:buffer';
import type {CallerOutput} from './caller-output.js';

/** Answer that the gateway gives itself. */
export type OwnAnswer = {
	readonly status: 400 | 401 | 404 | 413 | 431 | 502 | 503 | 504;
	readonly reason: string;
	/** When the caller may come back, in milliseconds. */
	readonly retryAfterMs?: number;
	/** The caller is to open a new connection, which may lead to another gateway. */
	readonly closes?: boolean;
};

/** Sends an answer of the gateway's own, as JSON. */
export function sendOwnAnswer(output: CallerOutput, answer: OwnAnswer): void {
	if (output.isClosed || output.isBegun) {
		return;
	}

	const body = Buffer.from(JSON.stringify({error: answer.reason}));
	const headers = [
		'Content-Type',
		'application/json',
		'Content-Length',
		String(body.length),
	];
	if (answer.retryAfterMs !== undefined) {
		headers.push('Retry-After', (answer.retryAfterMs / 1000).toFixed(3));
	}

	if (answer.closes) {
		output.closeAfterwards();
	}

	output.send(answer.status, headers, body);
}
