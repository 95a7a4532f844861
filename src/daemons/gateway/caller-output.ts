import type {ServerResponse} from 'node:http';

/** Answer to a caller: begun once, then written, ended or broken off. */
export class CallerOutput {
	readonly #response: ServerResponse;
	#isPaused = false;
	#isUnframed = false;

	constructor(response: ServerResponse) {
		this.#response = response;
		response.sendDate = false;
	}

	get isBegun(): boolean {
		return this.#response.headersSent;
	}

	/** The caller's connection is closed, or the answer has ended. */
	get isClosed(): boolean {
		return this.#response.destroyed || this.#response.writableEnded;
	}

	/** Asks the caller to open a new connection for its next request. */
	closeAfterwards(): void {
		this.#response.shouldKeepAlive = false;
	}

	/** The end of the connection is the end of the answer. */
	get isUnframed(): boolean {
		return this.#isUnframed;
	}

	/**
	 * An unframed answer has no length and ends with the connection, as the
	 * endpoint's did: a length would vouch for an end that nobody has seen.
	 */
	begin(status: number, headers: readonly string[], isUnframed: boolean): void {
		this.#isUnframed = isUnframed;
		if (isUnframed) {
			this.#response.useChunkedEncodingByDefault = false;
			this.#response.shouldKeepAlive = false;
		}

		this.#response.writeHead(status, [...headers]);
	}

	/** Returns false when the caller reads too slowly; `onDrain` is called when it may go on. */
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

	/** Sends a whole answer. */
	send(
		status: number,
		headers: readonly string[],
		body: Uint8Array,
		isUnframed = false,
	): void {
		this.begin(status, headers, isUnframed);
		this.#response.end(body);
	}

	/** Breaks the connection off, so that the answer does not look complete. */
	cut(): void {
		this.#response.destroy();
	}
}
