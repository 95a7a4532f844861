import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {
	parseSettings,
	SettingsInvalid,
	type Settings,
} from '../interfaces/index.js';

/** Reads a settings file. If it is invalid, prints the errors and exits the process with status 2. */
export async function loadSettings(file: string): Promise<Settings> {
	try {
		return parseSettings(await readFile(file, 'utf8'), file);
	} catch (error) {
		const text =
			error instanceof SettingsInvalid
				? error.message
				: `${file}: cannot be read: ${String(error)}`;
		console.error(text);
		process.exit(2);
	}
}
