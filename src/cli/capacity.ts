import {mkdir, readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {defineCommand} from 'citty';
import {
	drawPlot,
	measureCapacity,
	replaceSection,
	reportSections,
} from '../lab/capacity/index.js';

export const capacityCommand = defineCommand({
	meta: {
		name: 'capacity',
		description:
			'Measure how costs grow with load and compute the load at the design size (run with "node --expose-gc")',
	},
	args: {
		seed: {type: 'string', description: 'Seed of the runs', default: '1'},
		write: {
			type: 'string',
			description:
				'Directory of CAPACITY.md, whose tables and plots are rewritten',
		},
		json: {
			type: 'boolean',
			description: 'Print figures and raw points as JSON',
		},
	},
	async run({args}) {
		if (!globalThis.gc) {
			console.error('capacity measures memory, which needs "node --expose-gc"');
			process.exit(2);
		}

		const report = await measureCapacity(Number(args.seed));
		const sections = reportSections(report);
		if (args.json) {
			const {figures, spread} = report;
			const slopes = Object.fromEntries(report.slopes);
			console.log(JSON.stringify({figures, slopes, spread}, undefined, '\t'));
		} else {
			console.log([...sections.values()].join('\n\n'));
		}

		if (args.write) {
			const file = path.join(args.write, 'CAPACITY.md');
			let page = await readFile(file, 'utf8');
			for (const [name, text] of sections) {
				page = replaceSection(page, name, text);
			}

			await writeFile(file, page);
			const directory = path.join(args.write, 'capacity');
			await mkdir(directory, {recursive: true});
			for (const [name, plot] of report.plots) {
				await writeFile(
					path.join(directory, `${name}.svg`),
					await drawPlot(plot),
				);
			}
		}
	},
});
