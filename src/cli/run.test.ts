import {execFile} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {expect} from 'earl';

type CommandResult = {status: number; out: string; error: string};

async function runCommandLine(...args: string[]): Promise<CommandResult> {
	return new Promise((resolve) => {
		const child = execFile(
			process.execPath,
			['--import', 'tsx', 'src/cli/main.ts', ...args],
			(_, out, error) => {
				resolve({status: child.exitCode ?? -1, out, error});
			},
		);
	});
}

// Guards against an exit status by which a script takes an invalid command line or a failed command for a success.
test('exit status is 0 for success, 1 for failure and 2 for invalid input', async () => {
	const example = 'examples/gebeya/entry.ini';
	const runs: Array<[number, string[]]> = [
		[0, ['--help']],
		[0, ['check', '--help']],
		[0, ['check', example]],
		[1, ['dump', '127.0.0.1:1']],
		[2, ['dump', 'entry-1']],
		[2, ['check', 'missing.ini']],
		[0, ['explain', 'README.md']],
		[2, ['explain', 'missing.log']],
		[2, ['check', example, 'README.md']],
		[2, ['check']],
		[2, ['start']],
		[2, ['sidecar', example]],
	];
	const results = await Promise.all(
		runs.map(async ([, args]) => runCommandLine(...args)),
	);
	expect(results.map(({status}) => status)).toEqual(
		runs.map(([status]) => status),
	);
});

// Guards against --json output that a script cannot parse.
test('check prints its results as JSON', async () => {
	const {out} = await runCommandLine(
		'check',
		'--json',
		'examples/gebeya/entry.ini',
	);
	expect(JSON.parse(out)).toEqual([
		{
			file: 'examples/gebeya/entry.ini',
			valid: true,
			role: 'entry',
			mistakes: [],
		},
	]);
});
