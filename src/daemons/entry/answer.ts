import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Outcome} from '../../platform/index.js';
import type {EntryEffect, Failure} from '../../services/index.js';
import {errorBody} from './api-error.js';
import {assembleCompletion} from './completion.js';
import type {ParsedRequest} from './caller-request.js';

type Head = Extract<EntryEffect, {type: 'head'}>;
type Chunk = Extract<EntryEffect, {type: 'chunk'}>;

/** Bytes of an answer after whose delivery the sidecar is given new credit. */
const creditBytes = 32 * 1024;

/** Writes one answer to its caller, at most one write in each turn of the event loop. */
export class Answer {
	readonly #response: ServerResponse;
	readonly #form: ParsedRequest['answer'];
	readonly #requestId: string;
	readonly #onDidTake: (upTo: number) => void;
	#head: Head | undefined;
	#pending: string[] = [];
	readonly #collected: string[] = [];
	#sequence = 0;
	#uncredited = 0;
	#flushing = false;
	#ended = false;

	constructor(
		response: ServerResponse,
		form: ParsedRequest['answer'],
		requestId: string,
		onDidTake: (upTo: number) => void,
	) {
		this.#response = response;
		this.#form = form;
		this.#requestId = requestId;
		this.#onDidTake = onDidTake;
	}

	head(head: Head): void {
		this.#head = head;
		if (this.#form === 'stream' && head.status === 200) {
			this.#response.writeHead(200, {
				'content-type': 'text/event-stream',
				'cache-control': 'no-store',
				'x-request-id': this.#requestId,
			});
		} else if (this.#form === 'raw') {
			this.#response.writeHead(head.status, {
				...head.headers,
				'x-request-id': this.#requestId,
			});
		}
	}

	chunk(chunk: Chunk): void {
		this.#sequence = chunk.sequence;
		this.#uncredited += chunk.data.length;
		if (
			(this.#form === 'json' || this.#head?.status !== 200) &&
			this.#form !== 'raw'
		) {
			this.#collected.push(chunk.data);
			this.#credit();
			return;
		}

		this.#pending.push(
			this.#form === 'stream'
				? `id: ${chunk.eventId}\ndata: ${chunk.data}\n\n`
				: chunk.data,
		);
		this.#flushLater();
	}

	end(outcome: Outcome, failure: Failure | undefined): void {
		this.#ended = true;
		if (failure && !this.#response.headersSent) {
			this.#fail(outcome, failure);
		} else if (this.#form === 'stream' && this.#head?.status === 200) {
			this.#pending.push(
				failure
					? `event: error\ndata: ${this.#failureBody(outcome, failure)}\n\n`
					: `: outcome ${outcome}\n\ndata: [DONE]\n\n`,
			);
			this.#flush();
			this.#response.end();
		} else if (this.#form === 'raw') {
			this.#flush();
			if (failure) {
				// A cut connection is the only way to say that a raw body is not whole.
				this.#response.destroy();
			} else {
				this.#response.end();
			}
		} else {
			this.#endCollected(outcome);
		}
	}

	#endCollected(outcome: Outcome): void {
		const status = this.#head?.status ?? 502;
		const body =
			status === 200
				? assembleCompletion(this.#collected)
				: this.#collected.join('');
		this.#response.writeHead(status, {
			'content-type': 'application/json',
			'x-request-id': this.#requestId,
			'x-cicadaswitch-outcome': outcome,
		});
		this.#response.end(body);
	}

	#fail(outcome: Outcome, failure: Failure): void {
		const headers: Record<string, string> = {
			'content-type': 'application/json',
			'x-request-id': this.#requestId,
			'x-cicadaswitch-outcome': outcome,
			// Clients that follow this header repeat a call only when it has not run.
			'x-should-retry': outcome === 'not_run' ? 'true' : 'false',
		};
		if (failure.retryAfterMs !== undefined) {
			headers['retry-after'] = String(Math.ceil(failure.retryAfterMs / 1000));
			headers['retry-after-ms'] = String(Math.ceil(failure.retryAfterMs));
		}

		this.#response.writeHead(failure.status, headers);
		this.#response.end(this.#failureBody(outcome, failure));
	}

	#failureBody(outcome: Outcome, failure: Failure): string {
		return errorBody(
			failure.status,
			failure.code,
			`${failure.text} (outcome: ${outcome})`,
		);
	}

	#flushLater(): void {
		if (!this.#flushing) {
			this.#flushing = true;
			setImmediate(() => {
				this.#flushing = false;
				if (!this.#ended) {
					this.#flush();
				}
			});
		}
	}

	#flush(): void {
		if (this.#pending.length === 0) {
			return;
		}

		const data =
			this.#form === 'raw'
				? Buffer.concat(
						this.#pending.map((text) => Buffer.from(text, 'base64')),
					)
				: this.#pending.join('');
		this.#pending = [];
		if (this.#response.write(data)) {
			this.#credit();
		} else {
			this.#response.once('drain', () => {
				this.#credit();
			});
		}
	}

	#credit(): void {
		if (this.#uncredited >= creditBytes) {
			this.#uncredited = 0;
			this.#onDidTake(this.#sequence);
		}
	}
}
