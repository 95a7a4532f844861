import process from 'node:process';
import {runCommand, runMain, type CommandDef} from 'citty';
import {ignoreClosedOutput} from '../daemons/closed-output.js';

const helpFlags = new Set(['--help', '-h']);

/** Runs the command named in the arguments. Exit status 2 means invalid arguments, 1 a failed command; record commands set further ones (see `exitCodes`). */
export async function run(
	main: CommandDef,
	rawArgs: readonly string[],
): Promise<void> {
	ignoreClosedOutput();
	if (rawArgs.length === 0 || rawArgs.some((arg) => helpFlags.has(arg))) {
		const args = rawArgs.length === 0 ? ['--help'] : [...rawArgs];
		await runMain(main, {rawArgs: args});
		return;
	}

	try {
		await runCommand(main, {rawArgs: [...rawArgs]});
	} catch (error) {
		const isUsage = error instanceof Error && error.name === 'CLIError';
		const text = error instanceof Error ? error.message : String(error);
		console.error(isUsage ? `${text}; see cicadaswitch --help` : text);
		process.exitCode = isUsage ? 2 : 1;
	}
}
