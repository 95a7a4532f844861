import type {Update} from '../../interfaces/index.js';

/** Chunk data that may wait for the caller before the run is paused, in UTF-16 code units of each stream. */
export const windowSize = 256 * 1024;

/** Chunk data that a caller has taken and that is still kept, so that it can ask again, in UTF-16 code units. */
const keptSize = 256 * 1024;

type Chunk = Extract<Update, {type: 'chunk'}>;

/** The updates of an attempt that an entry may ask for again. */
export class AnswerBuffer {
	readonly #keepTaken: boolean;
	/** Updates other than chunks, in order. */
	readonly #before: Update[] = [];
	#final: Update | undefined;
	readonly #chunks: Chunk[] = [];
	/** Sequence number of the last chunk that is no longer kept. */
	#dropped: number;
	#takenUpTo: number;
	#takenSize = 0;
	#waitingSize = 0;

	/** `after` is the sequence number from which the attempt continues; `keepTaken` keeps a bounded part of what was taken. */
	constructor(after: number, keepTaken: boolean) {
		this.#dropped = after;
		this.#takenUpTo = after;
		this.#keepTaken = keepTaken;
	}

	/** Size of the chunks that the caller has not taken. */
	get waitingSize(): number {
		return this.#waitingSize;
	}

	add(update: Update): void {
		switch (update.type) {
			case 'started':
			case 'head': {
				this.#before.push(update);
				break;
			}

			case 'chunk': {
				this.#chunks.push(update);
				this.#waitingSize += update.data.length;
				break;
			}

			case 'refused':
			case 'ended': {
				this.#final = update;
				break;
			}
		}
	}

	/** The caller has taken the chunks up to a sequence number. */
	take(upTo: number): void {
		for (const chunk of this.#chunks) {
			if (chunk.sequence > upTo) {
				break;
			}

			if (chunk.sequence > this.#takenUpTo) {
				this.#takenUpTo = chunk.sequence;
				this.#takenSize += chunk.data.length;
				this.#waitingSize -= chunk.data.length;
			}
		}

		this.#drop();
	}

	/** Updates after a sequence number, or undefined when some of them are no longer kept. */
	after(sequence: number): Update[] | undefined {
		if (sequence < this.#dropped) {
			return undefined;
		}

		const chunks = this.#chunks.filter((chunk) => chunk.sequence > sequence);
		const final = this.#final ? [this.#final] : [];
		return [...this.#before, ...chunks, ...final];
	}

	#drop(): void {
		const limit = this.#keepTaken ? keptSize : 0;
		let count = 0;
		for (const chunk of this.#chunks) {
			if (this.#takenSize <= limit || chunk.sequence > this.#takenUpTo) {
				break;
			}

			this.#takenSize -= chunk.data.length;
			this.#dropped = chunk.sequence;
			count++;
		}

		this.#chunks.splice(0, count);
	}
}
