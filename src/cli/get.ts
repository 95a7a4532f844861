import {defineCommand} from 'citty';
import {recordKey, type Table} from '../interfaces/index.js';
import {parseRecordRow} from '../services/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {recordArgs} from './record-args.js';
import {withTable} from './with-table.js';

/** Prints one record as JSON, with its `meta.revision`, by which a later apply detects changes made since. */
export async function getRecord(
	table: Table,
	record: {readonly kind: string; readonly name: string},
	output: Output = terminal,
): Promise<ExitCode> {
	const stored = parseRecordRow(await table.read(recordKey(record)));
	if (!stored) {
		output.error(`error: ${record.kind}/${record.name} does not exist`);
		return exitCodes.different;
	}

	output.out(JSON.stringify(stored.fields, null, '\t'));
	return exitCodes.done;
}

export const getCommand = defineCommand({
	meta: {name: 'get', description: 'Print a record as JSON'},
	args: {
		kind: recordArgs.kind,
		name: recordArgs.name,
		table: recordArgs.table,
	},
	async run({args}) {
		const {kind, name} = args;
		await withTable(args.table, async (table) =>
			getRecord(table, {kind, name}),
		);
	},
});
