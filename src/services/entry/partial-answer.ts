/** Maximum size of the chunk data buffered unparsed, in UTF-16 code units; parsing is deferred because most answers never need the text. */
const maxRawSize = 256 * 1024;

/** Maximum size of the buffered text, in UTF-16 code units; a longer answer cannot be continued at another endpoint. */
const maxTextSize = 256 * 1024;

/** Buffers the generated text of an unfinished answer, from which another endpoint can continue it. */
export class PartialAnswer {
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
		if (this.#size > maxRawSize) {
			this.#extractText();
		}
	}

	/** Text generated so far, or undefined when it exceeds the limit. */
	text(): string | undefined {
		this.#extractText();
		return this.#isTooLong ? undefined : this.#text;
	}

	#extractText(): void {
		this.#text += this.#textOf(this.#chunks);
		this.#chunks = [];
		this.#size = 0;
		if (this.#text.length > maxTextSize) {
			this.#isTooLong = true;
			this.#text = '';
		}
	}
}
