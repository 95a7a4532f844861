import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** Complete body of a caller's request, or the reason why it could not be read. */
export type RequestBody =
	| {readonly type: 'whole'; readonly bytes: Uint8Array}
	| {readonly type: 'too large'}
	/** The caller disconnected before it had sent the whole body. */
	| {readonly type: 'aborted'};

/** Buffers the whole body, so that a retry can send it again. Never rejects. */
export async function readBody(
	request: IncomingMessage,
	maxBytes: number,
): Promise<RequestBody> {
	return new Promise((resolve) => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		request.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length > maxBytes) {
				request.removeAllListeners('data');
				request.resume();
				resolve({type: 'too large'});
			} else {
				chunks.push(chunk);
			}
		});
		request.once('end', () => {
			resolve({
				type: 'whole',
				bytes: chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks),
			});
		});
		request.once('error', () => {
			resolve({type: 'aborted'});
		});
		request.once('close', () => {
			resolve({type: 'aborted'});
		});
	});
}
