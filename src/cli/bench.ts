import {defineCommand} from 'citty';
import {compareWithTargets, formatBench, runBench} from '../lab/bench/index.js';

export const benchCommand = defineCommand({
	meta: {
		name: 'bench',
		description:
			'Compare the router with a direct connection and a bare pass-through, on loopback',
	},
	args: {
		streams: {
			type: 'string',
			default: '32',
			description: 'Number of concurrent callers',
		},
		tokens: {type: 'string', default: '100', description: 'Tokens per answer'},
		seconds: {
			type: 'string',
			default: '8',
			description: 'Duration of each phase, in seconds',
		},
		'first-token-ms': {
			type: 'string',
			default: '2',
			description: 'Time to first token of the engine, in milliseconds',
		},
		'gap-ms': {
			type: 'string',
			default: '16',
			description: 'Time between tokens of the engine, in milliseconds',
		},
		json: {type: 'boolean', description: 'Print the results as JSON'},
	},
	async run({args}) {
		const phases = await runBench({
			streams: Number(args.streams),
			tokens: Number(args.tokens),
			seconds: Number(args.seconds),
			firstTokenMs: Number(args['first-token-ms']),
			gapMs: Number(args['gap-ms']),
		});
		console.log(
			args.json
				? JSON.stringify(
						{phases, targets: compareWithTargets(phases)},
						undefined,
						'\t',
					)
				: formatBench(phases),
		);
	},
});
