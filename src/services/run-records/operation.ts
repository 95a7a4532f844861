import {
	runRecordSchema,
	type Row,
	type RunRecord,
} from '../../interfaces/index.js';

/** A run record's row as last read. */
export type RunRow =
	| {readonly type: 'absent'}
	| {
			readonly type: 'present';
			readonly record: RunRecord;
			readonly revision: number;
	  }
	/** The row exists, but this version of the program cannot parse it. */
	| {readonly type: 'unreadable'};

/** What an operation does next, given the row of its run record. */
export type RunOperationStep =
	/** Writes the record, or deletes it when `record` is null, if the row has not changed. */
	| {readonly type: 'write'; readonly record: RunRecord | null}
	/** Ends the operation without a write. */
	| {readonly type: 'stop'};

/** How an operation on a run record ended. */
export type RunOperationResult =
	/** The write of the operation took effect. */
	| {readonly type: 'written'; readonly row: RunRow}
	/** The operation ended because the row, as others wrote it, does not permit it. */
	| {readonly type: 'stopped'; readonly row: RunRow}
	/** The table refused the call or did not answer in time. `uncertain` is set when a write of the operation may still take effect. */
	| {readonly type: 'unavailable'; readonly uncertain: boolean};

/** A conditional change of one run record: claims the run, records its end, releases a claim or revokes an attempt. */
export type RunOperation = {
	readonly id: string;
	readonly key: string;
	/** Stored in each record that this operation writes, so that a write whose answer was lost is recognized. */
	readonly writeId: string;
	readonly decide: (row: RunRow) => RunOperationStep;
	/** Row to start from; saves a read. When it is out of date, the first write fails and returns the current row. */
	readonly known: RunRow;
	/** Monotonic time at which the operation ends as `unavailable`, in milliseconds. */
	readonly giveUpAt: number;
	/** Whether to retry until `giveUpAt` while the table is unavailable; otherwise the first refusal ends the operation, unless an earlier write may have taken effect. */
	readonly persistent: boolean;
};

/** Parses a row of the table as a run record. */
export function parseRunRow(row: Row | undefined): RunRow {
	if (!row) {
		return {type: 'absent'};
	}

	try {
		const {data} = runRecordSchema.safeParse(JSON.parse(row.value));
		return data
			? {type: 'present', record: data, revision: row.revision}
			: {type: 'unreadable'};
	} catch {
		return {type: 'unreadable'};
	}
}
