import type {ServerResponse} from 'node:http';

/** Answer to a caller: begun once, then written, ended or broken off. */
export class CallerOutput {
	readonly #response: ServerResponse;
	#isPaused = false;

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

	begin(status: number, headers: readonly string[]): void {
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
	send(status: number, headers: readonly string[], body: Uint8Array): void {
		this.begin(status, headers);
		this.#response.end(body);
	}

	/** Breaks the connection off, so that the answer does not look complete. */
	cut(): void {
		this.#response.destroy();
	}
}
