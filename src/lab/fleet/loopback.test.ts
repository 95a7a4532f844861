import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {test} from 'node:test';
import {expect} from 'earl';
import {freePort} from './loopback.js';

// Guards against two test files that get the same port because the process of the first one has not begun to listen on it yet.
test(
	'a port is not assigned to two processes',
	{skip: process.platform !== 'linux'},
	async () => {
		const port = await freePort();
		const script = `import {reservePort} from './src/lab/fleet/loopback.js'; console.log(await reservePort(${port}), await reservePort(${port} + 30000));`;
		const output = execFileSync(
			process.execPath,
			['--import', 'tsx', '--input-type=module', '--eval', script],
			{encoding: 'utf8'},
		);
		expect(output.trim()).toEqual('false true');
	},
);
