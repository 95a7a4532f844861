import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Outcome} from '../../interfaces/index.js';
import type {EntryEffect, Failure} from '../../services/index.js';
import {errorBody, sendError, type ErrorAnswer} from './api-error.js';
import {assembleCompletion} from './completion.js';
import type {ParsedRequest} from './caller-request.js';

type Head = Extract<EntryEffect, {type: 'head'}>;
type Chunk = Extract<EntryEffect, {type: 'chunk'}>;
type End = Extract<EntryEffect, {type: 'end'}>;

/** Size of delivered data after which the sidecar gets new credit, in UTF-16 code units; well below what the sidecar sends without credit. */
const creditSize = 32 * 1024;

export type AnswerOptions = {
	readonly form: ParsedRequest['answer'];
	readonly requestId: string;
	/** Maximum size of the data buffered for a slow caller, in UTF-16 code units. */
	readonly maxPendingSize: number;
	/** Called when the answer has been written to the caller up to a sequence number. */
	readonly onDidAcknowledge: (upTo: number) => void;
};

/** Writes one answer to its caller; chunks of one event loop turn are combined into one write. */
export class Answer {
	readonly #response: ServerResponse;
	readonly #options: AnswerOptions;
	#head: Head | undefined;
	/** Text to write next; base64 data for a raw answer. */
	#pending: string[] = [];
	#pendingSize = 0;
	readonly #collected: string[] = [];
	/** Sequence number of the last chunk received. */
	#sequence = 0;
	/** Size of the data written to the caller since the last credit, in UTF-16 code units. */
	#uncreditedSize = 0;
	#isWriteScheduled = false;
	/** The write buffer of the connection is full; writing continues on `drain`. */
	#isBlocked = false;
	#isEnded = false;

	constructor(response: ServerResponse, options: AnswerOptions) {
		this.#response = response;
		this.#options = options;
	}

	head(head: Head): void {
		this.#head = head;
		const {form, requestId} = this.#options;
		if (form === 'stream' && head.status === 200) {
			this.#response.writeHead(200, {
				'content-type': 'text/event-stream',
				'cache-control': 'no-store',
				'x-request-id': requestId,
			});
		} else if (!this.#isCollected) {
			this.#response.writeHead(head.status, {
				...head.headers,
				'x-request-id': requestId,
			});
		}
	}

	chunk(chunk: Chunk): void {
		this.#sequence = chunk.sequence;
		if (this.#isCollected) {
			this.#collected.push(chunk.data);
			this.#acknowledge(chunk.sequence, chunk.data.length);
			return;
		}

		this.#push(
			this.#options.form === 'stream'
				? `id: ${chunk.eventId}\ndata: ${chunk.data}\n\n`
				: chunk.data,
		);
		if (this.#pendingSize > this.#options.maxPendingSize) {
			// The sidecar must not send more than its window without credit; exceeding the limit must not fill memory.
			this.#response.destroy();
		}
	}

	end({outcome, failure, offers}: End): void {
		this.#isEnded = true;
		if (failure && !this.#response.headersSent) {
			this.#response.setHeader('x-cicadaswitch-offers', String(offers));
			sendError(
				this.#response,
				this.#options.requestId,
				errorAnswer(outcome, failure),
			);
		} else if (this.#isCollected) {
			this.#endCollected(outcome, offers);
		} else {
			this.#endStreamed(outcome, failure);
		}
	}

	/** Whether the answer is sent as a whole. A caller that understands no chunks could not tell the end of a raw body from a broken connection. */
	get #isCollected(): boolean {
		const {form} = this.#options;
		return (
			form === 'json' ||
			(form === 'stream' && this.#head?.status !== 200) ||
			(form === 'raw' && !this.#response.useChunkedEncodingByDefault)
		);
	}

	#endStreamed(outcome: Outcome, failure: Failure | undefined): void {
		if (this.#options.form === 'stream') {
			this.#push(
				failure
					? `event: error\ndata: ${errorBody(errorAnswer(outcome, failure))}\n\n`
					: `event: ${outcome}\ndata: [DONE]\n\n`,
			);
		}

		this.#write();
		if (this.#options.form === 'raw' && failure) {
			// Closing the connection is the only way to signal that a raw body is incomplete.
			this.#response.destroy();
		} else {
			this.#response.end();
		}
	}

	#endCollected(outcome: Outcome, offers: number): void {
		const status = this.#head?.status ?? 502;
		if (this.#options.form === 'raw') {
			const body = decodeRaw(this.#collected);
			this.#response.writeHead(status, {
				...this.#head?.headers,
				'x-request-id': this.#options.requestId,
				'content-length': body.length,
			});
			this.#response.end(body);
			return;
		}

		const body =
			status === 200
				? assembleCompletion(this.#collected)
				: this.#collected.join('');
		this.#response.writeHead(status, {
			'content-type': 'application/json',
			'x-request-id': this.#options.requestId,
			'x-cicadaswitch-outcome': outcome,
			'x-cicadaswitch-offers': String(offers),
		});
		this.#response.end(body);
	}

	#push(text: string): void {
		this.#pending.push(text);
		this.#pendingSize += text.length;
		if (!this.#isWriteScheduled && !this.#isBlocked && !this.#isEnded) {
			this.#isWriteScheduled = true;
			setImmediate(() => {
				this.#isWriteScheduled = false;
				if (!this.#isEnded) {
					this.#write();
				}
			});
		}
	}

	#write(): void {
		if (this.#pending.length === 0) {
			return;
		}

		const data =
			this.#options.form === 'raw'
				? decodeRaw(this.#pending)
				: this.#pending.join('');
		const upTo = this.#sequence;
		const size = this.#pendingSize;
		this.#pending = [];
		this.#pendingSize = 0;
		if (this.#response.write(data)) {
			this.#acknowledge(upTo, size);
		} else if (!this.#isBlocked) {
			this.#isBlocked = true;
			this.#response.once('drain', () => {
				this.#isBlocked = false;
				this.#acknowledge(upTo, size);
				this.#write();
			});
		}
	}

	/** Reports the sequence number written to the caller, once the size justifies a credit message. */
	#acknowledge(upTo: number, size: number): void {
		this.#uncreditedSize += size;
		if (this.#uncreditedSize >= creditSize && !this.#isEnded) {
			this.#uncreditedSize = 0;
			this.#options.onDidAcknowledge(upTo);
		}
	}
}

function decodeRaw(parts: readonly string[]): Buffer {
	return Buffer.concat(parts.map((text) => Buffer.from(text, 'base64')));
}

function errorAnswer(outcome: Outcome, failure: Failure): ErrorAnswer {
	return {
		...failure,
		text: `${failure.text} (outcome: ${outcome})`,
		outcome,
		// A client may retry a call automatically only when it has not run.
		canRetry: outcome === 'not_run',
	};
}
