import {defineCommand} from 'citty';
import {recordPrefix, type Row, type Table} from '../interfaces/index.js';
import {parseRecordRow} from '../services/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {recordArgs} from './record-args.js';
import {withTable} from './with-table.js';

/** Rows that one scan of the table returns at most. */
const pageRows = 500;

/** Reads all rows under a prefix, after the key `after`, in pages. */
export async function scanAll(
	table: Table,
	prefix: string,
	after = '',
): Promise<Row[]> {
	const rows: Row[] = [];
	for (let last = after; ; last = rows.at(-1)!.key) {
		const page = await table.scan(prefix, last, pageRows);
		rows.push(...page);
		if (page.length < pageRows) {
			return rows;
		}
	}
}

/** Prints the records of one kind, or of all kinds, one a line. */
export async function listRecords(
	table: Table,
	options: {readonly kind?: string; readonly json: boolean},
	output: Output = terminal,
): Promise<ExitCode> {
	const kind = options.kind === undefined ? '' : `${options.kind}/`;
	for (const row of await scanAll(table, `${recordPrefix}${kind}`)) {
		const stored = parseRecordRow(row);
		const name = row.key.slice(recordPrefix.length);
		const {revision, operator} = stored?.meta ?? {};
		output.out(
			options.json
				? JSON.stringify(stored?.fields)
				: `${name}\t${revision ?? '-'}\t${operator ?? '-'}`,
		);
	}

	return exitCodes.done;
}

export const listCommand = defineCommand({
	meta: {
		name: 'list',
		description: 'List records with their revision and operator',
	},
	args: {
		kind: {
			type: 'positional',
			description: 'Kind of the records; all kinds by default',
			required: false,
		},
		table: recordArgs.table,
		json: recordArgs.json,
	},
	async run({args}) {
		const {kind} = args;
		const json = args.json === true;
		await withTable(args.table, async (table) =>
			listRecords(table, {kind, json}),
		);
	},
});
