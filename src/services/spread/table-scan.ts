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

/** Log entries replayed over records loaded from the table, which may be this much older than the head read before. */
const staleMargin = 64;
/** Rows read from the table at once. */
const scanLimit = 500;

type TableScanOptions = {
	readonly id: string;
	readonly replica: Replica;
	readonly calls: TableCalls;
};

/** Reads log entries, or all records and then the log, from the table. */
export class TableScan {
	readonly #options: TableScanOptions;
	/** Head that was read before the records were loaded from the table. */
	#headBeforeLoad = 0;

	constructor(options: TableScanOptions) {
		this.#options = options;
	}

	/** Reads the log entries after the current revision. */
	readLog(now: number): void {
		const {replica, calls} = this.#options;
		const after = logKey(replica.current);
		const limit = scanLimit;
		calls.begin('log', {type: 'scan', prefix: logPrefix, after, limit}, now);
	}

	/** Loads all records; `head` is the head that was read last. */
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
			// The table no longer holds the entries in between.
			this.load(replica.known, now);
			return;
		}

		replica.learn(entries, id);
		if (rows.length === scanLimit) {
			this.readLog(now);
		} else if (replica.staging?.isFromTable) {
			replica.staging.confirm();
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
		const next = rows.length === scanLimit ? rows.at(-1)?.key : undefined;
		const base = Math.max(0, this.#headBeforeLoad - staleMargin);
		staging.add(base, {after: staging.after, records, next});
		if (next === undefined) {
			// The log read after the scan holds every entry that the scan may have seen in part.
			this.readLog(now);
		} else {
			this.#readRecords(now);
		}
	}

	#readRecords(now: number): void {
		const {replica, calls} = this.#options;
		const after = replica.staging?.after;
		const limit = scanLimit;
		calls.begin(
			'records',
			{type: 'scan', prefix: recordPrefix, after, limit},
			now,
		);
	}
}
