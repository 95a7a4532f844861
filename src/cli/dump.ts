import process from 'node:process';
import {defineCommand} from 'citty';
import {request} from 'undici';

const timeoutMs = 5000;

export const dumpCommand = defineCommand({
	meta: {
		name: 'dump',
		description: 'Print the state of a running process as JSON',
	},
	args: {
		address: {
			type: 'positional',
			description: 'Admin address of the process, IP:port',
			required: true,
		},
	},
	async run({args}) {
		if (!/^[\d.]+:\d+$/v.test(args.address)) {
			console.error(
				`"${args.address}" is not an address such as 127.0.0.1:8090`,
			);
			process.exit(2);
		}

		try {
			const answer = await request(`http://${args.address}/dump`, {
				signal: AbortSignal.timeout(timeoutMs),
			});
			const text = await answer.body.text();
			if (answer.statusCode !== 200) {
				throw new Error(`status ${answer.statusCode}`);
			}

			process.stdout.write(text);
		} catch (error) {
			console.error(`no dump from ${args.address}: ${String(error)}`);
			process.exit(1);
		}
	},
});
