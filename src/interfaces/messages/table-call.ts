import {
	TableUncertain,
	type Decision,
	type Row,
	type Table,
	type Transaction,
} from '../ports/index.js';

/** Table operation that a state machine requests from its daemon. */
export type TableCall =
	| {readonly type: 'read'; readonly key: string}
	| {
			readonly type: 'scan';
			readonly prefix: string;
			readonly after?: string;
			readonly limit?: number;
	  }
	| {readonly type: 'commit'; readonly transaction: Transaction};

/** Result of a table operation, returned to the state machine. */
export type TableAnswer =
	| {readonly type: 'row'; readonly row: Row | undefined}
	| {readonly type: 'rows'; readonly rows: readonly Row[]}
	| {readonly type: 'decision'; readonly decision: Decision}
	/** The operation had no effect. */
	| {readonly type: 'unavailable'}
	/** The commit may or may not have taken effect. */
	| {readonly type: 'uncertain'};

/** Carries out a table operation; never rejects. */
export async function callTable(
	table: Table,
	call: TableCall,
): Promise<TableAnswer> {
	try {
		switch (call.type) {
			case 'read': {
				return {type: 'row', row: await table.read(call.key)};
			}

			case 'scan': {
				const rows = await table.scan(call.prefix, call.after, call.limit);
				return {type: 'rows', rows};
			}

			case 'commit': {
				const decision = await table.commit(call.transaction);
				return {type: 'decision', decision};
			}
		}
	} catch (error) {
		return {
			type: error instanceof TableUncertain ? 'uncertain' : 'unavailable',
		};
	}
}
