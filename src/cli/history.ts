import process from 'node:process';
import {defineCommand} from 'citty';
import {
	headKey,
	logEntrySchema,
	logKey,
	logPrefix,
	type Table,
} from '../interfaces/index.js';
import {headRevision} from '../services/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {scanAll} from './list.js';
import {recordArgs} from './record-args.js';
import {withTable} from './with-table.js';

export type HistoryOptions = {
	/** Only changes of this record, as "kind/name". */
	readonly record?: string;
	readonly writeId?: string;
	/** Number of latest revisions to read. */
	readonly last: number;
	readonly json: boolean;
};

/** Prints accepted writes from the log, oldest first. */
export async function showHistory(
	table: Table,
	options: HistoryOptions,
	output: Output = terminal,
): Promise<ExitCode> {
	const {record, writeId, last, json} = options;
	const head = headRevision(await table.read(headKey));
	const rows = await scanAll(
		table,
		logPrefix,
		logKey(Math.max(0, head - last)),
	);
	const entries = rows
		.map((row) => logEntrySchema.parse(JSON.parse(row.value)))
		.filter((entry) => writeId === undefined || entry.writeId === writeId)
		.filter(
			(entry) =>
				record === undefined ||
				entry.changes.some((change) => change.key === `record/${record}`),
		);
	for (const entry of entries) {
		const changes = entry.changes
			.map(({key, record: value}) => `${value ? 'set' : 'delete'} ${key}`)
			.join(', ');
		output.out(
			json
				? JSON.stringify(entry)
				: `${entry.revision}\t${entry.operator}\t${entry.writeId}\t${changes}`,
		);
	}

	return writeId !== undefined && entries.length === 0
		? exitCodes.different
		: exitCodes.done;
}

export const historyCommand = defineCommand({
	meta: {name: 'history', description: 'Print accepted writes, oldest first'},
	args: {
		record: {
			type: 'positional',
			description: 'Only changes of this record, as "kind/name"',
			required: false,
		},
		table: recordArgs.table,
		'write-id': {
			type: 'string',
			description:
				'Only this write; exit code 1 when it is not in these revisions',
		},
		last: {
			type: 'string',
			description: 'Number of latest revisions to read',
			default: '1000',
		},
		json: recordArgs.json,
	},
	async run({args}) {
		const last = Number(args.last);
		if (!Number.isInteger(last) || last < 1) {
			terminal.error('error: --last takes a positive integer');
			process.exitCode = exitCodes.invalid;
			return;
		}

		await withTable(args.table, async (table) =>
			showHistory(table, {
				record: args.record,
				writeId: args['write-id'],
				last,
				json: args.json === true,
			}),
		);
	},
});
