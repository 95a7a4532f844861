import {createReadStream} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {defineCommand} from 'citty';
import {endedLine, LossTable, type LossRow} from '../services/gateway/index.js';
import {exitCodes} from './exit-code.js';

/** Parses the JSON object of a log line; a log collector may have put text before it. */
function parseLogLine(text: string): unknown {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		return JSON.parse(text.slice(start)) as unknown;
	} catch {
		return undefined;
	}
}

/** Adds the ended requests of one log file to the table and returns their number; rejects when the file cannot be read. */
async function readLog(file: string, table: LossTable): Promise<number> {
	const input = file === '-' ? process.stdin : createReadStream(file);
	let count = 0;
	for await (const text of createInterface({input})) {
		const {data} = endedLine.safeParse(parseLogLine(text));
		if (data) {
			table.add(data);
			count++;
		}
	}

	return count;
}

function formatRow({route, cause, requests, part, meanMs}: LossRow): string {
	return [
		route.padEnd(20),
		String(requests).padStart(8),
		`${(part * 100).toFixed(1)}%`.padStart(7),
		String(Math.round(meanMs)).padStart(8),
		` ${cause}`,
	].join(' ');
}

export const explainCommand = defineCommand({
	meta: {
		name: 'explain',
		description:
			'Count the causes of late and lost requests by route, from gateway logs',
	},
	args: {
		log: {
			type: 'positional',
			description: 'Log files, - for standard input',
			required: true,
		},
		json: {type: 'boolean', description: 'Print JSON', default: false},
	},
	async run({args}) {
		const table = new LossTable();
		for (const file of args._) {
			try {
				const count = await readLog(file, table);
				if (count === 0) {
					console.error(`${file}: no log lines of ended requests`);
				}
			} catch (error) {
				console.error(`${file}: ${String(error)}`);
				process.exit(exitCodes.invalid);
			}
		}

		const rows = table.rows();
		if (args.json) {
			console.log(JSON.stringify(rows));
			return;
		}

		console.log('route                requests    part  mean ms  cause');
		for (const row of rows) {
			console.log(formatRow(row));
		}
	},
});
