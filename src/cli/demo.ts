import process from 'node:process';
import {defineCommand} from 'citty';
import {request} from 'undici';
import {Fleet} from '../lab/fleet/index.js';

type DemoCall = {
	readonly title: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: unknown;
};

const deployments = {
	gebeya: {
		model: 'kettle-llm',
		modelCalls: [
			['shop-staff', 'staff'],
			['reminders', 'letter'],
			['reminders', 'summary'],
		],
		service: '/services/booking-app/bookings',
		serviceWorkspace: 'technicians',
	},
	harlech: {
		model: 'assay-llm',
		modelCalls: [
			['counters', 'counter'],
			['counters', 'valuation-letter'],
			['compliance', 'compliance'],
		],
		service: '/services/till-core/payments',
		serviceWorkspace: 'payments',
	},
} as const;

export const demoCommand = defineCommand({
	meta: {
		name: 'demo',
		description: 'Run the whole path on embedded stand-ins and send requests',
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
			description: 'Stay up after the requests, until interrupted',
		},
	},
	async run({args}) {
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

			for (const [index, call] of callsOf(args.deployment).entries()) {
				const entry = fleet.entries[index % fleet.entries.length]!;
				await sendCall(`http://${entry.address}`, call);
			}

			if (args.stay) {
				printStay(fleet.entries[0]!.address, args.deployment);
				await untilInterrupted();
			}
		} finally {
			await fleet.dispose();
		}

		console.log('demo finished');
	},
});

function callsOf(name: keyof typeof deployments): DemoCall[] {
	const deployment = deployments[name];
	const modelCalls = deployment.modelCalls.map(([workspace, requestClass]) => ({
		title: `chat completion, class ${requestClass}, workspace ${workspace}`,
		path: '/v1/chat/completions',
		headers: {
			authorization: `Bearer sk-demo-${workspace}`,
			'x-cicadaswitch-class': requestClass,
		},
		body: {
			model: deployment.model,
			stream: true,
			max_tokens: 8,
			messages: [{role: 'user', content: 'Write one line.'}],
		},
	}));
	const serviceCall = {
		title: `call of a plain service, workspace ${deployment.serviceWorkspace}`,
		path: deployment.service,
		headers: {
			authorization: `Bearer sk-demo-${deployment.serviceWorkspace}`,
			'idempotency-key': 'demo-1',
		},
		body: {day: 'monday'},
	};
	return [
		...modelCalls,
		serviceCall,
		{...serviceCall, title: 'the same call again, with the same key'},
	];
}

async function sendCall(origin: string, call: DemoCall): Promise<void> {
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

function printStay(
	address: string,
	deployment: keyof typeof deployments,
): void {
	const {model, modelCalls} = deployments[deployment];
	console.log(`\nstays up; interrupt to stop. For example:
curl -N http://${address}/v1/chat/completions \\
  -H 'authorization: Bearer sk-demo-${modelCalls[0][0]}' \\
  -H 'content-type: application/json' \\
  -d '{"model":"${model}","stream":true,"messages":[{"role":"user","content":"hello"}]}'`);
}

async function untilInterrupted(): Promise<void> {
	return new Promise((resolve) => {
		process.once('SIGINT', resolve);
		process.once('SIGTERM', resolve);
	});
}
