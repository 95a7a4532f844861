import type {
	LogEntry,
	SnapshotPiece,
	StoredRecord,
} from '../../interfaces/index.js';

/** Log entries kept for peers that are behind: more than five hours at 18,000 changes a day. */
const logLimit = 4096;
/** Most entries in one message. */
const entriesPerPush = 64;
/** Most JSON characters of log entries in one message, unless a single one is longer. */
const charactersPerPush = 64 * 1024;
/** Most JSON characters of records in one snapshot piece; a quarter of it made a start 2.8 times as long. */
export const charactersPerPiece = 256 * 1024;

const sizes = new WeakMap<object, number>();

/** Length of a value's JSON text; remembered, since records are shared and never modified. */
function sizeOf(value: object): number {
	const known = sizes.get(value);
	if (known !== undefined) {
		return known;
	}

	const size = JSON.stringify(value).length;
	sizes.set(value, size);
	return size;
}

function bounded<T extends object>(items: Iterable<T>, limit: number): T[] {
	const chosen: T[] = [];
	let characters = 0;
	for (const item of items) {
		characters += sizeOf(item);
		if (
			chosen.length > 0 &&
			(chosen.length >= limit || characters > charactersPerPush)
		) {
			break;
		}

		chosen.push(item);
	}

	return chosen;
}

/** Records at one revision, with the log entries that led to it. Only moves forward. */
export class RecordStore {
	readonly #records: Map<string, StoredRecord>;
	/** Recent entries without a gap; the last one is that of the present revision. */
	#log: LogEntry[] = [];
	#revision: number;
	/** Keys in order; undefined after a key was added or removed. */
	#keys: string[] | undefined;

	constructor(records: Map<string, StoredRecord>, revision: number) {
		this.#records = records;
		this.#revision = revision;
	}

	get revision(): number {
		return this.#revision;
	}

	get records(): ReadonlyMap<string, StoredRecord> {
		return this.#records;
	}

	/** Applies the entry of the next revision; any other is refused and changes nothing. */
	apply(entry: LogEntry): boolean {
		if (entry.revision !== this.#revision + 1) {
			return false;
		}

		for (const {key, record} of entry.changes) {
			if (record === null) {
				this.#records.delete(key);
				this.#keys = undefined;
			} else {
				if (!this.#records.has(key)) {
					this.#keys = undefined;
				}

				this.#records.set(key, record);
			}
		}

		this.#revision = entry.revision;
		this.#log.push(entry);
		if (this.#log.length > 2 * logLimit) {
			this.#log = this.#log.slice(-logLimit);
		}

		return true;
	}

	/** Entries after a revision, as many as fit into one message; undefined when the log does not reach back so far. */
	entriesAfter(revision: number): LogEntry[] | undefined {
		const first = this.#revision - this.#log.length;
		return revision < first
			? undefined
			: bounded(
					this.#log.slice(revision - first, revision - first + entriesPerPush),
					entriesPerPush,
				);
	}

	/** Records after a key, as many as fit into one message. */
	piece(after: string, limit = charactersPerPiece): SnapshotPiece {
		this.#keys ??= [...this.#records.keys()].toSorted();
		const keys = this.#keys;
		let low = 0;
		let high = keys.length;
		while (low < high) {
			const middle = Math.floor((low + high) / 2);
			if (keys[middle]! <= after) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		const records: SnapshotPiece['records'] = [];
		let characters = 0;
		for (let index = low; index < keys.length; index++) {
			const key = keys[index]!;
			const record = this.#records.get(key)!;
			characters += sizeOf(record) + key.length;
			if (records.length > 0 && characters > limit) {
				return {after, records, next: keys[index - 1]};
			}

			records.push({key, record});
		}

		return {after, records};
	}
}
