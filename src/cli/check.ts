import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {defineCommand} from 'citty';
import {parseSettings, SettingsInvalid} from '../interfaces/index.js';

/** Result for one settings file; printed as JSON with --json. */
type CheckResult = {
	readonly file: string;
	readonly valid: boolean;
	readonly role?: string;
	/** Error messages, one for each mistake in the file. */
	readonly mistakes: readonly string[];
};

export const checkCommand = defineCommand({
	meta: {
		name: 'check',
		description:
			'Check settings files without starting a process; exit code 2 when one is invalid',
	},
	args: {
		settings: {
			type: 'positional',
			description: 'INI settings files',
			required: true,
		},
		json: {type: 'boolean', description: 'Print the results as JSON'},
	},
	async run({args}) {
		const results = await Promise.all(args._.map(async (file) => check(file)));
		if (args.json) {
			console.log(JSON.stringify(results, undefined, '\t'));
		} else {
			for (const result of results) {
				printResult(result);
			}
		}

		process.exitCode = results.every(({valid}) => valid) ? 0 : 2;
	},
});

async function check(file: string): Promise<CheckResult> {
	try {
		const settings = parseSettings(await readFile(file, 'utf8'), file);
		return {file, valid: true, role: settings.process.role, mistakes: []};
	} catch (error) {
		const mistakes =
			error instanceof SettingsInvalid
				? error.message.split('\n')
				: [`${file}: cannot be read: ${String(error)}`];
		return {file, valid: false, mistakes};
	}
}

function printResult({file, valid, role, mistakes}: CheckResult): void {
	if (valid) {
		console.log(`${file}: valid, role ${role}`);
	}

	for (const mistake of mistakes) {
		console.error(mistake);
	}
}
