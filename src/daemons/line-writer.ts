import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Buffered text above which further lines are dropped and counted, in characters, so that a stalled reader of the output does not affect requests. */
const maxWaitingChars = 256 * 1024;

/** File descriptor of standard output. */
const stdoutDescriptor = 1;

/** Writes lines to standard output without ever blocking the process. */
export class LineWriter {
	#waiting = '';
	#isWriting = false;
	#dropped = 0;

	/** Lines that were dropped because the reader was too slow. */
	get dropped(): number {
		return this.#dropped;
	}

	write(line: string): void {
		if (this.#waiting.length > maxWaitingChars) {
			this.#dropped++;
			return;
		}

		this.#waiting += `${line}\n`;
		this.#flush();
	}

	#flush(): void {
		if (this.#isWriting || this.#waiting === '') {
			return;
		}

		this.#isWriting = true;
		const bytes = Buffer.from(this.#waiting);
		this.#waiting = '';
		this.#writeAll(bytes);
	}

	#writeAll(bytes: Uint8Array): void {
		write(stdoutDescriptor, bytes, (error, written) => {
			if (!error && written < bytes.length) {
				this.#writeAll(bytes.subarray(written));
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}
