import type {LogEntry, SnapshotPiece} from '../../interfaces/index.js';
import {RecordStore} from './record-store.js';

/**
 * Records that are being collected from a peer or the table.
 *
 * Pieces read one after the other may be of different revisions. The result is
 * consistent once the log entries from the lowest revision of a piece up to
 * the highest are applied over it, since an entry holds whole records.
 */
export class Staging {
	/** Peer that sends the pieces at present; undefined while there is none. */
	source: string | undefined;
	/** The pieces come from the table. */
	readonly isFromTable: boolean;
	readonly #records = new Map<
		string,
		SnapshotPiece['records'][number]['record']
	>();

	#base: number | undefined;
	#consistentAt = 0;
	/** Pieces of a peer name its revision; the table's do not, so its log has to be read after them. */
	#isConfirmed: boolean;
	#after = '';
	#store: RecordStore | undefined;

	/** Starts with a peer, or with the table. */
	constructor(source?: string) {
		this.source = source;
		this.isFromTable = source === undefined;
		this.#isConfirmed = source !== undefined;
	}

	/** Key after which the next piece starts; undefined when all have come. */
	get after(): string | undefined {
		return this.#store ? undefined : this.#after;
	}

	/** Revision from which log entries are needed, when all pieces have come. */
	get revision(): number | undefined {
		return this.#store?.revision;
	}

	/** The records, once they are consistent. */
	get result(): RecordStore | undefined {
		const revision = this.#store?.revision ?? -1;
		return this.#isConfirmed && revision >= this.#consistentAt
			? this.#store
			: undefined;
	}

	/** Adds a piece that the source sent while it was at `revision`. One that is out of order is ignored. */
	add(revision: number, piece: SnapshotPiece): void {
		if (this.#store !== undefined || piece.after !== this.#after) {
			return;
		}

		// A later piece may come from a peer that is behind the first one.
		this.#base = Math.min(this.#base ?? revision, revision);
		this.#consistentAt = Math.max(this.#consistentAt, revision);
		for (const {key, record} of piece.records) {
			this.#records.set(key, record);
		}

		if (piece.next === undefined) {
			this.#store = new RecordStore(this.#records, this.#base);
		} else {
			this.#after = piece.next;
		}
	}

	/** States that the source has reached this revision. */
	raise(revision: number): void {
		this.#consistentAt = Math.max(this.#consistentAt, revision);
	}

	/** States that the log has been read to its end after the last piece. */
	confirm(): void {
		this.#isConfirmed = true;
	}

	apply(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#store?.apply(entry);
		}
	}
}
