/** One row of the platform's table. `value` is JSON text; `revision` is that of the row's last write and increases with every write to any row. */
export type Row = {
	readonly key: string;
	readonly value: string;
	readonly revision: number;
};

/** Condition of a transaction: the row's current revision, or 0 for "does not exist". */
export type RowCheck = {
	readonly key: string;
	readonly revision: number;
};

/** Write of a transaction; a null value deletes the row. */
export type RowWrite = {
	readonly key: string;
	readonly value: string | null;
};

/** Applied atomically: all writes take effect when all checks hold, and none otherwise. */
export type Transaction = {
	readonly checks: readonly RowCheck[];
	readonly writes: readonly RowWrite[];
};

/** Result of a transaction: committed, or a conflict at the first check that did not hold. */
export type Decision =
	| {readonly type: 'committed'; readonly revision: number}
	| {
			readonly type: 'conflict';
			readonly key: string;
			readonly current: Row | undefined;
	  };

/**
 * The platform's transactional table.
 *
 * Every method rejects with `TableUnavailable` when the call certainly had no
 * effect, and `commit` rejects with `TableUncertain` when it may have had one.
 */
export type Table = {
	read(key: string): Promise<Row | undefined>;
	/** Rows whose key starts with `prefix`, in order of key, after `after`, at most `limit`. */
	scan(prefix: string, after?: string, limit?: number): Promise<Row[]>;
	commit(transaction: Transaction): Promise<Decision>;
};
