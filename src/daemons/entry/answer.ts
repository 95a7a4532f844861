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

/** Data of an answer after whose delivery the sidecar is given new credit, in UTF-16 code units; well below what it sends without credit. */
const creditSize = 32 * 1024;

export type AnswerOptions = {
	readonly form: ParsedRequest['answer'];
	readonly requestId: string;
	/** Data that may wait for a slow caller, in UTF-16 code units. */
	readonly mostWaiting: number;
	/** The caller has taken the answer up to a sequence number. */
	readonly onDidTake: (upTo: number) => void;
};

/** Writes one answer to its caller, at most one write in each turn of the event loop. */
export class Answer {
	readonly #response: ServerResponse;
	readonly #options: AnswerOptions;
	#head: Head | undefined;
	/** Text to write next; base64 parts for a raw answer. */
	#pending: string[] = [];
	#pendingSize = 0;
	readonly #collected: string[] = [];
	#sequence = 0;
	/** Size of what the caller has taken since the last credit. */
	#uncredited = 0;
	#scheduled = false;
	/** The caller has not read what was written last. */
	#blocked = false;
	#ended = false;

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
		} else if (form === 'raw') {
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
			this.#credit(chunk.sequence, chunk.data.length);
			return;
		}

		this.#push(
			this.#options.form === 'stream'
				? `id: ${chunk.eventId}\ndata: ${chunk.data}\n\n`
				: chunk.data,
		);
		if (this.#pendingSize > this.#options.mostWaiting) {
			// The sidecar sends no more than its window without credit; a larger amount must not fill memory.
			this.#response.destroy();
		}
	}

	end({outcome, failure, offers}: End): void {
		this.#ended = true;
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
			this.#endWritten(outcome, failure);
		}
	}

	get #isCollected(): boolean {
		const {form} = this.#options;
		return form === 'json' || (form === 'stream' && this.#head?.status !== 200);
	}

	#endWritten(outcome: Outcome, failure: Failure | undefined): void {
		if (this.#options.form === 'stream') {
			this.#push(
				failure
					? `event: error\ndata: ${errorBody(errorAnswer(outcome, failure))}\n\n`
					: `event: ${outcome}\ndata: [DONE]\n\n`,
			);
		}

		this.#write();
		if (this.#options.form === 'raw' && failure) {
			// A cut connection is the only way to say that a raw body is not whole.
			this.#response.destroy();
		} else {
			this.#response.end();
		}
	}

	#endCollected(outcome: Outcome, offers: number): void {
		const status = this.#head?.status ?? 502;
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
		if (!this.#scheduled && !this.#blocked && !this.#ended) {
			this.#scheduled = true;
			setImmediate(() => {
				this.#scheduled = false;
				if (!this.#ended) {
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
				? Buffer.concat(
						this.#pending.map((text) => Buffer.from(text, 'base64')),
					)
				: this.#pending.join('');
		const upTo = this.#sequence;
		const size = this.#pendingSize;
		this.#pending = [];
		this.#pendingSize = 0;
		if (this.#response.write(data)) {
			this.#credit(upTo, size);
		} else if (!this.#blocked) {
			this.#blocked = true;
			this.#response.once('drain', () => {
				this.#blocked = false;
				this.#credit(upTo, size);
				this.#write();
			});
		}
	}

	/** Tells that the caller has taken the answer up to a sequence number, once it is worth a message. */
	#credit(upTo: number, size: number): void {
		this.#uncredited += size;
		if (this.#uncredited >= creditSize && !this.#ended) {
			this.#uncredited = 0;
			this.#options.onDidTake(upTo);
		}
	}
}

function errorAnswer(outcome: Outcome, failure: Failure): ErrorAnswer {
	return {
		...failure,
		text: `${failure.text} (outcome: ${outcome})`,
		outcome,
		// A client may repeat a call by itself only when it has not run.
		retry: outcome === 'not_run',
	};
}
