import process from 'node:process';
import {defineCommand} from 'citty';
import type {Table} from '../interfaces/index.js';
import type {Edit} from '../services/index.js';
import {writeRecords} from '../daemons/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {recordArgs} from './record-args.js';
import {parseTarget} from './record-files.js';
import {previewWrite, reportWrite} from './write-report.js';
import {withTable} from './with-table.js';

export type DeleteOptions = {
	readonly kind: string;
	readonly name: string;
	readonly operator: string;
	/** Revision that the record must have; another one is a conflict. */
	readonly revision?: number;
	readonly isDryRun: boolean;
	readonly json: boolean;
};

/** Deletes one record, or only reports what the write would do on a dry run. */
export async function deleteRecord(
	table: Table,
	options: DeleteOptions,
	output: Output = terminal,
): Promise<ExitCode> {
	const target = parseTarget(options.kind, options.name, output);
	if (!target) {
		return exitCodes.invalid;
	}

	const {operator, isDryRun, json} = options;
	const edit: Edit = {...target, record: null, expected: options.revision};
	const request = {operator, edits: [edit]};
	const write = isDryRun
		? {id: 'dry-run', result: await previewWrite(table, request), isDryRun}
		: await writeRecords(table, request);
	return reportWrite(write, json, output);
}

export const deleteCommand = defineCommand({
	meta: {name: 'delete', description: 'Delete a record'},
	args: {
		kind: recordArgs.kind,
		name: recordArgs.name,
		table: recordArgs.table,
		operator: recordArgs.operator,
		revision: {
			type: 'string',
			description: 'Delete only if the record is at this revision',
		},
		'dry-run': recordArgs['dry-run'],
		json: recordArgs.json,
	},
	async run({args}) {
		const {kind, name, operator} = args;
		const revision =
			args.revision === undefined ? undefined : Number(args.revision);
		if (revision !== undefined && !Number.isInteger(revision)) {
			terminal.error('error: --revision takes an integer');
			process.exitCode = exitCodes.invalid;
			return;
		}

		await withTable(args.table, async (table) =>
			deleteRecord(table, {
				kind,
				name,
				operator,
				revision,
				isDryRun: args['dry-run'] === true,
				json: args.json === true,
			}),
		);
	},
});
