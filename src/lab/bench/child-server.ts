import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {Disposable} from '../../base/index.js';

/** A child process of the benchmark that serves HTTP; disposing it kills the process. */
export type ChildServer = Disposable & {readonly url: string};

/** Runs a module of this folder as a child process; resolves when it has printed its URL. */
export async function startChildServer(
	name: string,
	args: readonly string[],
): Promise<ChildServer> {
	const isSource = import.meta.url.endsWith('.ts');
	const file = new URL(`${name}.${isSource ? 'ts' : 'js'}`, import.meta.url);
	const child = spawn(
		process.execPath,
		[...(isSource ? ['--import', 'tsx'] : []), fileURLToPath(file), ...args],
		{stdio: ['ignore', 'pipe', 'inherit']},
	);
	const lines: unknown[] = await once(createInterface(child.stdout), 'line');
	const url = String(lines[0]);
	return {
		url,
		dispose() {
			child.kill('SIGKILL');
		},
	};
}
