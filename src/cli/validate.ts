import process from 'node:process';
import {defineCommand} from 'citty';
import {editProblems} from '../services/index.js';
import {exitCodes, terminal, type ExitCode, type Output} from './exit-code.js';
import {recordArgs} from './record-args.js';
import {
	readRecordFiles,
	readText,
	type TextReader,
	reportFiles,
} from './record-files.js';

/** Checks the records in files, without access to the table. */
export async function validateRecords(
	options: {
		readonly files: readonly string[];
		readonly json: boolean;
		readonly read?: TextReader;
	},
	output: Output = terminal,
): Promise<ExitCode> {
	const files = await readRecordFiles(options.files, options.read ?? readText);
	const problems = [
		...files.problems,
		...(files.edits.length > 0 ? editProblems(files.edits) : []),
	];
	const {warnings, edits} = files;
	const isValid = problems.length === 0;
	if (options.json) {
		const records = edits.length;
		output.out(JSON.stringify({isValid, records, problems, warnings}));
	} else if (!reportFiles({...files, problems}, output)) {
		output.out(`${edits.length} valid`);
	}

	return isValid ? exitCodes.done : exitCodes.invalid;
}

export const validateCommand = defineCommand({
	meta: {
		name: 'validate',
		description: 'Check records in JSON files or standard input',
	},
	args: {
		json: recordArgs.json,
	},
	async run({args}) {
		const json = args.json === true;
		process.exitCode = await validateRecords({files: args._, json});
	},
});
