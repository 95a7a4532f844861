import {isDeepStrictEqual} from 'node:util';
import {defineCommand} from 'citty';
import {mergeRecord, type Table} from '../interfaces/index.js';
import {editKey, parseRecordRow} from '../services/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {recordArgs} from './record-args.js';
import {
	readRecordFiles,
	readText,
	reportFiles,
	type TextReader,
} from './record-files.js';
import {withTable} from './with-table.js';

/** Prints the fields of the stored records that applying the files would change. */
export async function diffRecords(
	table: Table,
	options: {
		readonly files: readonly string[];
		readonly json: boolean;
		readonly read?: TextReader;
	},
	output: Output = terminal,
): Promise<ExitCode> {
	const files = await readRecordFiles(options.files, options.read ?? readText);
	if (reportFiles(files, output)) {
		return exitCodes.invalid;
	}

	let code: ExitCode = exitCodes.done;
	for (const edit of files.edits) {
		const stored = parseRecordRow(await table.read(editKey(edit)))?.fields;
		const {meta: _, ...before}: Readonly<Record<string, unknown>> =
			stored ?? {};
		const after = edit.record && mergeRecord(edit.kind, stored, edit.record);
		const fields = [
			...new Set([...Object.keys(before), ...Object.keys(after ?? {})]),
		]
			.map((field) => ({field, before: before[field], after: after?.[field]}))
			.filter((change) => !isDeepStrictEqual(change.before, change.after));
		if (fields.length === 0) {
			continue;
		}

		code = exitCodes.different;
		const record = `${edit.kind}/${edit.name}`;
		if (options.json) {
			output.out(JSON.stringify({record, isNew: !stored, fields}));
			continue;
		}

		output.out(stored ? record : `${record} (new)`);
		for (const change of fields) {
			if (change.before !== undefined) {
				output.out(`- ${change.field}: ${JSON.stringify(change.before)}`);
			}

			if (change.after !== undefined) {
				output.out(`+ ${change.field}: ${JSON.stringify(change.after)}`);
			}
		}
	}

	return code;
}

export const diffCommand = defineCommand({
	meta: {
		name: 'diff',
		description:
			'Compare JSON files or standard input with the records in force',
	},
	args: {
		table: recordArgs.table,
		json: recordArgs.json,
	},
	async run({args}) {
		const json = args.json === true;
		await withTable(args.table, async (table) =>
			diffRecords(table, {files: args._, json}),
		);
	},
});
