import process from 'node:process';
import {defineCommand} from 'citty';
import {
	reportCsv,
	reportTable,
	runExperiment,
	variants,
	workloads,
} from '../lab/index.js';

function parseList(text: string): string[] {
	return text
		.split(',')
		.map((item) => item.trim())
		.filter((item) => item !== '');
}

function parsePositiveNumbers(text: string): number[] {
	return parseList(text).map((item) => {
		const value = Number(item);
		if (!(value > 0)) {
			throw new RangeError(`"${item}" is not a positive number`);
		}

		return value;
	});
}

export const experimentCommand = defineCommand({
	meta: {
		name: 'experiment',
		description: 'Measure scheduling against baselines in virtual time',
	},
	args: {
		workloads: {
			type: 'string',
			default: 'gebeya-rush',
			description: `Comma-separated, or "all": ${workloads.map(({name}) => name).join(', ')}`,
		},
		variants: {
			type: 'string',
			default: variants
				.slice(0, 5)
				.map(({name}) => name)
				.join(','),
			description: `Comma-separated, or "all": ${variants.map(({name}) => name).join(', ')}`,
		},
		loads: {
			type: 'string',
			default: '0.7,1,1.5,3',
			description: 'Demand as multiples of the capacity',
		},
		seeds: {type: 'string', default: '1,2,3', description: 'Random seeds'},
		seconds: {
			type: 'string',
			default: '60',
			description: 'Duration of the arrivals in virtual time, in seconds',
		},
		csv: {type: 'boolean', description: 'Print comma-separated values'},
		json: {type: 'boolean', description: 'Print JSON'},
	},
	run({args}) {
		const [seconds] = parsePositiveNumbers(args.seconds);
		const rows = [
			...runExperiment({
				workloads: args.workloads === 'all' ? [] : parseList(args.workloads),
				variants: args.variants === 'all' ? [] : parseList(args.variants),
				loads: parsePositiveNumbers(args.loads),
				seeds: parsePositiveNumbers(args.seeds),
				seconds: seconds ?? 60,
			}),
		];
		const text = args.json
			? JSON.stringify(rows, null, '\t')
			: args.csv
				? reportCsv(rows)
				: reportTable(rows);
		process.stdout.write(`${text}\n`);
	},
});
