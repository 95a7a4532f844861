import process from 'node:process';
import {defineCommand} from 'citty';
import {measureLeave} from '../lab/membership-bench.js';
import {
	measureRestart,
	measureSpread,
	spreadScenarios,
	type SpreadStrategy,
} from '../lab/spread-bench.js';

const strategies = [
	'everyone polls',
	'a few poll and pass on',
	'push bodies',
	'push digests',
	'cluster tree',
] as const satisfies readonly SpreadStrategy[];

type Cell = string | number | boolean;

function printRow(row: Readonly<Record<string, Cell>>, json: boolean): void {
	const text = json
		? JSON.stringify(row)
		: Object.entries(row)
				.map(([name, value]) => `${name}=${formatCell(value)}`)
				.join('\t');
	process.stdout.write(`${text}\n`);
}

function formatCell(value: Cell): string {
	return typeof value === 'number' && !Number.isInteger(value)
		? value.toFixed(1)
		: String(value);
}

export const spreadBenchCommand = defineCommand({
	meta: {
		name: 'spread-bench',
		description:
			'Compare ways to spread configuration changes, in virtual time',
	},
	args: {
		members: {
			type: 'string',
			description: 'Fleet sizes, separated by commas',
			default: '6,60,600,5800',
		},
		seed: {type: 'string', description: 'Seed of the runs', default: '1'},
		records: {
			type: 'string',
			description: 'Records in the table',
			default: '50',
		},
		leave: {
			type: 'boolean',
			description:
				'Also measure how long all processes take to learn that one is leaving; 5,800 members need 12 GB of heap',
		},
		json: {type: 'boolean', description: 'Print one JSON object per line'},
	},
	run({args}) {
		const json = args.json === true;
		const seed = Number(args.seed);
		const records = Number(args.records);
		for (const members of args.members.split(',').map(Number)) {
			if (
				!Number.isInteger(members) ||
				members < 1 ||
				!Number.isInteger(seed) ||
				!Number.isInteger(records)
			) {
				console.error(
					'--members takes positive integers, --seed and --records integers',
				);
				process.exit(2);
			}

			const options = {members, seed, records};
			for (const strategy of strategies) {
				for (const scenario of spreadScenarios) {
					printRow(measureSpread({...options, strategy, scenario}), json);
				}
			}

			for (const part of [0.01, 0.1, 1]) {
				printRow(measureRestart({...options, part}), json);
			}

			printRow(measureRestart({...options, part: 0.1, tableDown: true}), json);
			for (const loss of args.leave === true ? [0, 0.1] : []) {
				printRow(measureLeave({members, seed, loss}), json);
			}
		}
	},
});
