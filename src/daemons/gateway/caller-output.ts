import type {ServerResponse} from 'node:http';
import type {YieldReason} from '../../services/gateway/index.js';
import type {CallerInput} from './caller-input.js';

/** Memory of an endpoint's connection whose response is paused, in bytes: one read of its socket. */
const pausedEndpointBytes = 64 * 1024;

/**
 * Response to a caller: its head is written once, its body is then written, ended
 * or aborted. The end of each body is marked by a length or a last chunk and never
 * by the close of the connection, which also follows when this process is killed.
 */
export class CallerOutput {
	readonly #response: ServerResponse;
	readonly #input: CallerInput | undefined;
	readonly #onDidShed: (reason: YieldReason) => void;
	/** Called when writing may continue: that of the last write, as a stream may have gone on at another endpoint since. */
	#onDrain: (() => void) | undefined;

	/** The input of its connection is charged for what the caller does not read; `onDidShed` is called when the response is cut because that memory is needed. */
	constructor(
		response: ServerResponse,
		input?: CallerInput,
		onDidShed: (reason: YieldReason) => void = () => undefined,
	) {
		this.#response = response;
		this.#input = input;
		this.#onDidShed = onDidShed;
		response.sendDate = false;
	}

	get hasSentHeaders(): boolean {
		return this.#response.headersSent;
	}

	/** The caller's connection is closed, or the response has ended. */
	get isClosed(): boolean {
		return this.#response.destroyed || this.#response.writableEnded;
	}

	/** Whether the caller understands chunked encoding, which HTTP/1.0 lacks: any other caller needs the length of a body before its first byte. */
	get acceptsChunks(): boolean {
		return this.#response.useChunkedEncodingByDefault;
	}

	/** Closes the connection after the response, so that the caller opens a new one for its next request. */
	disableKeepAlive(): void {
		this.#response.shouldKeepAlive = false;
	}

	/** Writes the status and headers. A body without a Content-Length is sent in chunks. */
	writeHead(status: number, headers: readonly string[]): void {
		this.#response.writeHead(status, [...headers]);
	}

	/** Returns false when the caller reads too slowly and the write buffer is full; `onDrain` is called when writing may continue. */
	write(bytes: Uint8Array, onDrain: () => void): boolean {
		this.#input?.forward(bytes.length);
		if (this.#response.write(bytes)) {
			return true;
		}

		if (!this.#onDrain) {
			this.#response.once('drain', () => {
				const resume = this.#onDrain;
				this.#onDrain = undefined;
				this.#input?.releaseAnswer();
				resume?.();
			});
		}

		this.#onDrain = onDrain;
		this.hold(this.#response.writableLength + pausedEndpointBytes);
		return false;
	}

	end(): void {
		this.#response.end();
	}

	/** Sends a complete response; the headers must contain the length of its body. */
	send(status: number, headers: readonly string[], body: Uint8Array): void {
		this.writeHead(status, headers);
		this.#response.end(body);
		if ((this.#response.socket?.writableLength ?? 0) > 0) {
			this.hold(body.length);
		}
	}

	/** Charges bytes that are held for the caller. */
	hold(bytes: number): void {
		this.#input?.holdAnswer(bytes, (reason) => {
			this.#onDidShed(reason);
			this.cut();
		});
	}

	/** Destroys the connection before the end of the body has been marked, so that the caller does not take the response for complete. */
	cut(): void {
		this.#response.destroy();
	}
}
