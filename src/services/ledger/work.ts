import {
	runRecordSchema,
	type Row,
	type RunRecord,
} from '../../interfaces/index.js';

/** A run record's row as last seen. */
export type RunRow =
	| {readonly type: 'absent'}
	| {
			readonly type: 'present';
			readonly record: RunRecord;
			readonly revision: number;
	  }
	/** The row exists, but this version of the program cannot read it. */
	| {readonly type: 'unreadable'};

/** What to do about a run record, given its row. */
export type RunStep =
	/** Writes the record, or deletes it when `record` is null, provided that the row has not changed. */
	| {readonly type: 'write'; readonly record: RunRecord | null}
	/** Nothing is left to write. */
	| {readonly type: 'stop'};

/** How work on a run record ended. */
export type RunResult =
	/** The row is as the work wanted it. */
	| {readonly type: 'written'; readonly row: RunRow}
	/** The work stopped at a row that others wrote. */
	| {readonly type: 'stopped'; readonly row: RunRow}
	/** The table gave no answer in time. `uncertain` is set when a write of the work may still take effect. */
	| {readonly type: 'unavailable'; readonly uncertain: boolean};

/** One intention about one run record. */
export type RunWork = {
	readonly id: string;
	/** Key of the row. */
	readonly key: string;
	/** Identifies the writes of this work; each record that it writes carries it. */
	readonly writeId: string;
	readonly decide: (row: RunRow) => RunStep;
	/** Row to start from, when it is known; saves a read. */
	readonly known: RunRow;
	/** Monotonic time at which the work ends without a result, in milliseconds. */
	readonly giveUpAt: number;
	/** Tries again while the table is down; otherwise ends as soon as the table refuses. */
	readonly persistent: boolean;
};

/** Reads a row of the table as a run record. */
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
