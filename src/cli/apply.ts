import {defineCommand} from 'citty';
import type {Table} from '../interfaces/index.js';
import {writeRecords} from '../daemons/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {recordArgs} from './record-args.js';
import {
	readRecordFiles,
	readText,
	reportFiles,
	type TextReader,
} from './record-files.js';
import {previewWrite, reportWrite} from './write-report.js';
import {withTable} from './with-table.js';

export type ApplyOptions = {
	readonly files: readonly string[];
	readonly operator: string;
	readonly isDryRun: boolean;
	readonly json: boolean;
	readonly writeId?: string;
	readonly read?: TextReader;
};

/** Writes the records in files in one transaction, or only reports what the write would do on a dry run. */
export async function applyRecords(
	table: Table,
	options: ApplyOptions,
	output: Output = terminal,
): Promise<ExitCode> {
	const {operator, isDryRun, json, writeId} = options;
	const files = await readRecordFiles(options.files, options.read ?? readText);
	if (reportFiles(files, output)) {
		return exitCodes.invalid;
	}

	const {edits} = files;
	if (!isDryRun) {
		const write = await writeRecords(table, {operator, edits, writeId});
		return reportWrite(write, json, output);
	}

	const result = await previewWrite(table, {operator, edits});
	return reportWrite({id: 'dry-run', result, isDryRun}, json, output);
}

export const applyCommand = defineCommand({
	meta: {
		name: 'apply',
		description:
			'Write records from JSON files or standard input in one transaction; a meta.revision in a record must match the one in force',
	},
	args: {
		table: recordArgs.table,
		operator: recordArgs.operator,
		'dry-run': recordArgs['dry-run'],
		json: recordArgs.json,
		'write-id': {
			type: 'string',
			description: 'Id of the write; random by default',
		},
	},
	async run({args}) {
		await withTable(args.table, async (table) =>
			applyRecords(table, {
				files: args._,
				operator: args.operator,
				isDryRun: args['dry-run'] === true,
				json: args.json === true,
				writeId: args['write-id'],
			}),
		);
	},
});
