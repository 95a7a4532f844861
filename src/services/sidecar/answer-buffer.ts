import type {Update} from '../../interfaces/index.js';

/** Unacknowledged chunk data of a stream above which its run is paused, in UTF-16 code units. */
export const windowSize = 256 * 1024;

/** Acknowledged chunk data of a stream that is kept so that it can be replayed, in UTF-16 code units. */
const maxAcknowledgedSize = 256 * 1024;

type Chunk = Extract<Update, {type: 'chunk'}>;

/** The updates of an attempt that can be replayed to an entry. */
export class AnswerBuffer {
	readonly #keepAcknowledged: boolean;
	/** The `started` and `head` updates, in order. */
	readonly #headUpdates: Update[] = [];
	#final: Update | undefined;
	readonly #chunks: Chunk[] = [];
	/** Sequence number of the last chunk that is no longer kept. */
	#droppedUpTo: number;
	#acknowledgedUpTo: number;
	#acknowledgedSize = 0;
	#unacknowledgedSize = 0;

	/** `after` is the sequence number from which the attempt continues; `keepAcknowledged` keeps the last acknowledged chunks, up to a bound. */
	constructor(after: number, keepAcknowledged: boolean) {
		this.#droppedUpTo = after;
		this.#acknowledgedUpTo = after;
		this.#keepAcknowledged = keepAcknowledged;
	}

	/** Size of the chunks that the caller has not acknowledged, in UTF-16 code units. */
	get unacknowledgedSize(): number {
		return this.#unacknowledgedSize;
	}

	add(update: Update): void {
		switch (update.type) {
			case 'started':
			case 'head': {
				this.#headUpdates.push(update);
				break;
			}

			case 'chunk': {
				this.#chunks.push(update);
				this.#unacknowledgedSize += update.data.length;
				break;
			}

			case 'refused':
			case 'ended': {
				this.#final = update;
				break;
			}
		}
	}

	/** Marks the chunks up to a sequence number as acknowledged and drops those that need not be kept. */
	acknowledge(upTo: number): void {
		for (const chunk of this.#chunks) {
			if (chunk.sequence > upTo) {
				break;
			}

			if (chunk.sequence > this.#acknowledgedUpTo) {
				this.#acknowledgedUpTo = chunk.sequence;
				this.#acknowledgedSize += chunk.data.length;
				this.#unacknowledgedSize -= chunk.data.length;
			}
		}

		this.#drop();
	}

	/** Updates after a sequence number, or undefined when some of them are no longer kept. */
	after(sequence: number): Update[] | undefined {
		if (sequence < this.#droppedUpTo) {
			return undefined;
		}

		const chunks = this.#chunks.filter((chunk) => chunk.sequence > sequence);
		const final = this.#final ? [this.#final] : [];
		return [...this.#headUpdates, ...chunks, ...final];
	}

	#drop(): void {
		const limit = this.#keepAcknowledged ? maxAcknowledgedSize : 0;
		let count = 0;
		for (const chunk of this.#chunks) {
			if (
				this.#acknowledgedSize <= limit ||
				chunk.sequence > this.#acknowledgedUpTo
			) {
				break;
			}

			this.#acknowledgedSize -= chunk.data.length;
			this.#droppedUpTo = chunk.sequence;
			count++;
		}

		this.#chunks.splice(0, count);
	}
}
