import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {defineCommand} from 'citty';
import {request} from 'undici';
import {z} from 'zod';
import {Fleet} from '../lab/fleet/index.js';

type Call = {
	readonly title: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: unknown;
};

const scriptSchema = z.object({
	model: z.string(),
	modelCalls: z
		.array(z.object({workspace: z.string(), requestClass: z.string()}))
		.min(1),
	serviceCall: z.object({workspace: z.string(), path: z.string()}),
});
/** Requests that the demo sends, from examples/DEPLOYMENT/demo.json. */
type Script = z.infer<typeof scriptSchema>;

export const demoCommand = defineCommand({
	meta: {
		name: 'demo',
		description:
			'Run a whole deployment on loopback, with stand-ins for the platform and the endpoints, and send requests',
	},
	args: {
		deployment: {
			type: 'enum',
			options: ['gebeya', 'harlech'],
			default: 'gebeya',
			description: 'Which example deployment to run',
		},
		stay: {
			type: 'boolean',
			default: false,
			description: 'Keep running after the requests, until interrupted',
		},
	},
	async run({args}) {
		const script = await loadScript(args.deployment);
		const fleet = new Fleet({
			deployment: args.deployment,
			entries: 2,
			engines: 3,
			services: 2,
		});
		try {
			console.log(`starting the ${args.deployment} deployment on loopback ...`);
			await fleet.start();
			for (const {name, address} of fleet.entries) {
				console.log(`${name} accepts callers at http://${address}`);
			}

			for (const [index, call] of callsOf(script).entries()) {
				const entry = fleet.entries[index % fleet.entries.length]!;
				await sendCall(`http://${entry.address}`, call);
			}

			if (args.stay) {
				printExample(fleet.entries[0]!.address, script);
				await untilInterrupted();
			}
		} finally {
			await fleet.dispose();
		}

		console.log('demo finished');
	},
});

async function loadScript(deployment: string): Promise<Script> {
	const file = new URL(
		`../../examples/${deployment}/demo.json`,
		import.meta.url,
	);
	return scriptSchema.parse(JSON.parse(await readFile(file, 'utf8')));
}

function callsOf({model, modelCalls, serviceCall}: Script): Call[] {
	const service = {
		title: `call of a plain service, workspace ${serviceCall.workspace}`,
		path: serviceCall.path,
		headers: {
			authorization: `Bearer sk-demo-${serviceCall.workspace}`,
			'idempotency-key': 'demo-1',
		},
		body: {day: 'monday'},
	};
	return [
		...modelCalls.map(({workspace, requestClass}) => ({
			title: `chat completion, class ${requestClass}, workspace ${workspace}`,
			path: '/v1/chat/completions',
			headers: {
				authorization: `Bearer sk-demo-${workspace}`,
				'x-cicadaswitch-class': requestClass,
			},
			body: {
				model,
				stream: true,
				max_tokens: 8,
				messages: [{role: 'user', content: 'Write one line.'}],
			},
		})),
		service,
		{...service, title: 'the same call again, with the same key'},
	];
}

async function sendCall(origin: string, call: Call): Promise<void> {
	const startedAt = Date.now();
	const answer = await request(`${origin}${call.path}`, {
		method: 'POST',
		headers: {'content-type': 'application/json', ...call.headers},
		body: JSON.stringify(call.body),
	});
	const text = await answer.body.text();
	console.log(
		`\n${call.title}\n  status ${answer.statusCode}, ${Date.now() - startedAt} ms, ${text.length} bytes`,
	);
	console.log(`  ${text.trim().split('\n').at(-1)}`);
}

function printExample(address: string, {model, modelCalls}: Script): void {
	console.log(`\nrunning until interrupted. For example:
curl -N http://${address}/v1/chat/completions \\
  -H 'authorization: Bearer sk-demo-${modelCalls[0]!.workspace}' \\
  -H 'content-type: application/json' \\
  -d '{"model":"${model}","stream":true,"messages":[{"role":"user","content":"hello"}]}'`);
}

async function untilInterrupted(): Promise<void> {
	return new Promise((resolve) => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}
