import type {ServerResponse} from 'node:http';

/** Response to a caller: its head is written once, its body is then written, ended or aborted. */
export class CallerOutput {
	readonly #response: ServerResponse;
	#isPaused = false;
	#isCloseDelimited = false;

	constructor(response: ServerResponse) {
		this.#response = response;
		response.sendDate = false;
	}

	get hasSentHeaders(): boolean {
		return this.#response.headersSent;
	}

	/** The caller's connection is closed, or the response has ended. */
	get isClosed(): boolean {
		return this.#response.destroyed || this.#response.writableEnded;
	}

	/** Closes the connection after the response, so that the caller opens a new one for its next request. */
	disableKeepAlive(): void {
		this.#response.shouldKeepAlive = false;
	}

	/** The end of the response body is marked only by the close of the connection. */
	get isCloseDelimited(): boolean {
		return this.#isCloseDelimited;
	}

	/**
	 * Writes the status and headers. A close-delimited response stays one for
	 * the caller: a length or chunked encoding would mark the body as complete,
	 * although the endpoint's connection may have closed too early.
	 */
	writeHead(
		status: number,
		headers: readonly string[],
		isCloseDelimited: boolean,
	): void {
		this.#isCloseDelimited = isCloseDelimited;
		if (isCloseDelimited) {
			this.#response.useChunkedEncodingByDefault = false;
			this.#response.shouldKeepAlive = false;
		}

		this.#response.writeHead(status, [...headers]);
	}

	/** Returns false when the caller reads too slowly and the write buffer is full; `onDrain` is called when writing may continue. */
	write(bytes: Uint8Array, onDrain: () => void): boolean {
		if (this.#response.write(bytes)) {
			return true;
		}

		if (!this.#isPaused) {
			this.#isPaused = true;
			this.#response.once('drain', () => {
				this.#isPaused = false;
				onDrain();
			});
		}

		return false;
	}

	end(): void {
		this.#response.end();
	}

	/** Sends a complete response. */
	send(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
		isCloseDelimited = false,
	): void {
		this.writeHead(status, headers, isCloseDelimited);
		this.#response.end(body);
	}

	/** Destroys the connection, so that the caller does not take the response for complete. A response that ends with its connection needs a reset, because any other end completes it. */
	cut(): void {
		if (this.#isCloseDelimited) {
			this.#response.socket?.resetAndDestroy();
		}

		this.#response.destroy();
	}
}
