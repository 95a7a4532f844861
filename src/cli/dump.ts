import process from 'node:process';
import {defineCommand} from 'citty';
import {request} from 'undici';

export const dumpCommand = defineCommand({
	meta: {name: 'dump', description: 'Print the state of a running process'},
	args: {
		address: {
			type: 'positional',
			description: 'Admin address of the process, IP:port',
			required: true,
		},
	},
	async run({args}) {
		try {
			const answer = await request(`http://${args.address}/dump`);
			process.stdout.write(await answer.body.text());
		} catch (error) {
			console.error(`no dump from ${args.address}: ${String(error)}`);
			process.exit(1);
		}
	},
});
