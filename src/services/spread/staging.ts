import type {LogEntry, SnapshotPiece} from '../../platform/index.js';
import {RecordStore} from './record-store.js';

/**
 * Records that are being collected from a peer or the table.
 *
 * Pieces read one after the other may be of different revisions. The result is
 * consistent once the log entries from the first piece's revision up to the
 * last one's are applied over it, since an entry holds whole records.
 */
export class Staging {
	/** Peer that sends the pieces; undefined for the table. */
	readonly source: string | undefined;
	readonly #records = new Map<
		string,
		SnapshotPiece['records'][number]['record']
	>();

	#base: number | undefined;
	#consistentAt = 0;
	#after = '';
	#store: RecordStore | undefined;

	constructor(source: string | undefined) {
		this.source = source;
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
		return revision >= this.#consistentAt ? this.#store : undefined;
	}

	/** Adds a piece that the source sent while it was at `revision`. One that is out of order is ignored. */
	add(revision: number, piece: SnapshotPiece): void {
		if (this.#store !== undefined || piece.after !== this.#after) {
			return;
		}

		this.#base ??= revision;
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

	apply(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#store?.apply(entry);
		}
	}
}
