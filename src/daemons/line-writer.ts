import {Buffer} from 'node:buffer';
import {write} from 'node:fs';

/** Text that waits at most, in characters; further lines are counted and dropped, so that a reader that stops costs no request. */
const maxWaiting = 256 * 1024;

const standardOutput = 1;

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
		if (this.#waiting.length > maxWaiting) {
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
		write(standardOutput, bytes, (error, written) => {
			if (!error && written < bytes.length) {
				this.#writeAll(bytes.subarray(written));
				return;
			}

			this.#isWriting = false;
			this.#flush();
		});
	}
}
