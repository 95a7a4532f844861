/** Chunk data that is kept as it came, in UTF-16 code units; reading the text out of it costs time that most answers never need. */
const rawSize = 256 * 1024;

/** Text that is kept at most, in UTF-16 code units; a longer answer cannot be continued elsewhere. */
const textSize = 256 * 1024;

/** What has been generated of an answer, from which another endpoint can continue it. */
export class AnswerSoFar {
	readonly #textOf: (chunks: readonly string[]) => string;
	#chunks: string[] = [];
	#size = 0;
	#text = '';
	#isTooLong = false;

	constructor(textOf: (chunks: readonly string[]) => string) {
		this.#textOf = textOf;
	}

	add(data: string): void {
		if (this.#isTooLong) {
			return;
		}

		this.#chunks.push(data);
		this.#size += data.length;
		if (this.#size > rawSize) {
			this.#fold();
		}
	}

	/** Text generated so far, or undefined when it was too long to keep. */
	text(): string | undefined {
		this.#fold();
		return this.#isTooLong ? undefined : this.#text;
	}

	#fold(): void {
		this.#text += this.#textOf(this.#chunks);
		this.#chunks = [];
		this.#size = 0;
		if (this.#text.length > textSize) {
			this.#isTooLong = true;
			this.#text = '';
		}
	}
}
