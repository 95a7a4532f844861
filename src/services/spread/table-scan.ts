import {
	logEntrySchema,
	logKey,
	logPrefix,
	recordPrefix,
	storedRecordSchema,
	type Row,
} from '../../interfaces/index.js';
import type {Replica} from './replica.js';
import {Staging} from './staging.js';
import type {TableCalls} from './table-calls.js';

/** Maximum number of log entries by which records loaded from the table may be older than the head that was read before; these entries are replayed over them. */
const maxStaleEntries = 64;
/** Maximum number of rows that one scan returns. */
const maxRowsPerScan = 500;

type TableScanOptions = {
	readonly id: string;
	readonly replica: Replica;
	readonly calls: TableCalls;
};

/** Reads from the table: either log entries, or all records and then the log. */
export class TableScan {
	readonly #options: TableScanOptions;
	/** Highest revision known before the records were loaded. */
	#headBeforeLoad = 0;

	constructor(options: TableScanOptions) {
		this.#options = options;
	}

	/** Reads the log entries after the current revision. */
	readLog(now: number): void {
		const {replica, calls} = this.#options;
		const after = logKey(replica.current);
		const limit = maxRowsPerScan;
		calls.begin('log', {type: 'scan', prefix: logPrefix, after, limit}, now);
	}

	/** Loads all records; `head` is the highest revision known so far. */
	load(head: number, now: number): void {
		this.#headBeforeLoad = head;
		this.#options.replica.staging = new Staging();
		this.#readRecords(now);
	}

	onLogRows(rows: readonly Row[], now: number): void {
		const {id, replica} = this.#options;
		const entries = rows.map((row) =>
			logEntrySchema.parse(JSON.parse(row.value)),
		);
		const [first] = entries;
		if (first && first.revision > replica.current + 1) {
			// The entries in between have been deleted from the table.
			this.load(replica.known, now);
			return;
		}

		replica.addEntries(entries, id);
		if (rows.length === maxRowsPerScan) {
			this.readLog(now);
		} else if (replica.staging?.isFromTable) {
			replica.staging.confirmLogEnd();
		}
	}

	onRecordRows(rows: readonly Row[], now: number): void {
		const {staging} = this.#options.replica;
		if (!staging?.isFromTable || staging.after === undefined) {
			return;
		}

		const records = rows.map((row) => ({
			key: row.key,
			record: storedRecordSchema.parse(JSON.parse(row.value)),
		}));
		const next = rows.length === maxRowsPerScan ? rows.at(-1)?.key : undefined;
		const base = Math.max(0, this.#headBeforeLoad - maxStaleEntries);
		staging.add(base, {after: staging.after, records, next});
		if (next === undefined) {
			// The log that is read after the scan holds every entry of which the scan may have read only some records.
			this.readLog(now);
		} else {
			this.#readRecords(now);
		}
	}

	#readRecords(now: number): void {
		const {replica, calls} = this.#options;
		const after = replica.staging?.after;
		const limit = maxRowsPerScan;
		calls.begin(
			'records',
			{type: 'scan', prefix: recordPrefix, after, limit},
			now,
		);
	}
}
