import type {LogEntry, SnapshotPiece} from '../../interfaces/index.js';
import {RecordStore} from './record-store.js';

/**
 * Collects a snapshot of all records from a peer or the table.
 *
 * Pieces that are read one after the other may have different revisions. The
 * result is consistent once the log entries from the lowest revision of a
 * piece up to the highest have been applied to it, since an entry holds whole
 * records.
 */
export class Staging {
	/** Peer that currently sends the pieces; undefined while there is none. */
	source: string | undefined;
	/** Whether the pieces come from the table. */
	readonly isFromTable: boolean;
	readonly #records = new Map<
		string,
		SnapshotPiece['records'][number]['record']
	>();

	#baseRevision: number | undefined;
	#targetRevision = 0;
	/** Whether the target revision is final. Pieces from a peer carry its revision. Those from the table don't, so the log has to be read to its end after them. */
	#isTargetKnown: boolean;
	#after = '';
	#store: RecordStore | undefined;

	/** Collects from the peer `source`, or from the table if it is undefined. */
	constructor(source?: string) {
		this.source = source;
		this.isFromTable = source === undefined;
		this.#isTargetKnown = source !== undefined;
	}

	/** Key after which the next piece starts; undefined when all pieces have arrived. */
	get after(): string | undefined {
		return this.#store ? undefined : this.#after;
	}

	/** Revision after which log entries are needed; undefined until all pieces have arrived. */
	get revision(): number | undefined {
		return this.#store?.revision;
	}

	/** The collected records; undefined until they are consistent. */
	get result(): RecordStore | undefined {
		const revision = this.#store?.revision ?? -1;
		return this.#isTargetKnown && revision >= this.#targetRevision
			? this.#store
			: undefined;
	}

	/** Adds a piece that the source sent while it was at `revision`. Ignores a piece that is out of order. */
	add(revision: number, piece: SnapshotPiece): void {
		if (this.#store !== undefined || piece.after !== this.#after) {
			return;
		}

		// A later piece may come from a peer with a lower revision than the first one.
		this.#baseRevision = Math.min(this.#baseRevision ?? revision, revision);
		this.#targetRevision = Math.max(this.#targetRevision, revision);
		for (const {key, record} of piece.records) {
			this.#records.set(key, record);
		}

		if (piece.next === undefined) {
			this.#store = new RecordStore(this.#records, this.#baseRevision);
		} else {
			this.#after = piece.next;
		}
	}

	/** Raises the revision that must be reached before the records count as consistent. */
	requireRevision(revision: number): void {
		this.#targetRevision = Math.max(this.#targetRevision, revision);
	}

	/** Marks the log as read to its end after the last piece. */
	confirmLogEnd(): void {
		this.#isTargetKnown = true;
	}

	apply(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#store?.apply(entry);
		}
	}
}
