import process from 'node:process';
import {HttpTable} from '../interfaces/adapters/index.js';
import {TableUnavailable, type Table} from '../interfaces/index.js';
import {exitCodes, terminal, type ExitCode} from './exit-code.js';

/** Runs a command against the table at a URL and sets the exit code of the process, also when the table is unavailable. */
export async function withTable(
	url: string,
	command: (table: Table) => Promise<ExitCode>,
): Promise<void> {
	try {
		process.exitCode = await command(new HttpTable(url));
	} catch (error) {
		if (!(error instanceof TableUnavailable)) {
			throw error;
		}

		terminal.error(`error: ${error.message}`);
		process.exitCode = exitCodes.unavailable;
	}
}
