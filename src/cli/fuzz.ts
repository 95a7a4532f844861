import {readFileSync} from 'node:fs';
import process from 'node:process';
import {defineCommand} from 'citty';
import {
	campaigns,
	findingSchema,
	replay,
	checkCampaign,
	type Finding,
} from '../lab/fuzz/index.js';

export const fuzzCommand = defineCommand({
	meta: {
		name: 'fuzz',
		description:
			"Search for violations of the request path's invariants in virtual time; exit code 1 when one is found",
	},
	args: {
		seed: {type: 'string', default: '1', description: 'First seed'},
		runs: {
			type: 'string',
			default: '200',
			description: 'Runs of each campaign and seed',
		},
		minutes: {
			type: 'string',
			default: '0',
			description: 'Minutes for which to go on with the following seeds',
		},
		campaign: {type: 'string', description: 'Only this campaign'},
		replay: {
			type: 'string',
			description: 'File with the JSON of a finding to run again',
		},
	},
	run({args}) {
		const found = args.replay
			? replayFile(args.replay)
			: runSeeds({
					seed: Number(args.seed),
					runs: Number(args.runs),
					minutes: Number(args.minutes),
					campaign: args.campaign,
				});
		if (found) {
			process.exitCode = 1;
		}
	},
});

function replayFile(path: string): boolean {
	const {campaign, property, plan} = findingSchema.parse(
		JSON.parse(readFileSync(path, 'utf8')),
	);
	const {trace, violations} = replay(campaign, plan);
	printLines([...trace, ...violations]);
	return violations.some((text) => text.startsWith(`${property}: `));
}

/** Runs the campaigns with one seed after another until the time is up; returns whether a property was violated. */
function runSeeds(options: {
	readonly seed: number;
	readonly runs: number;
	readonly minutes: number;
	readonly campaign: string | undefined;
}): boolean {
	const {runs, minutes, campaign: only} = options;
	const end = Date.now() + minutes * 60_000;
	let {seed} = options;
	let found = false;
	do {
		for (const campaign of campaigns) {
			if (only !== undefined && campaign.name !== only) {
				continue;
			}

			const findings = checkCampaign(campaign, {seed, runs});
			printLines([
				`campaign ${campaign.name}, seed ${seed}, ${runs} runs: ${findings.length} of ${campaign.properties.length} properties violated`,
				...findings.flatMap((finding) => formatFinding(finding)),
			]);
			found ||= findings.length > 0;
		}

		seed++;
	} while (Date.now() < end);

	return found;
}

function formatFinding(finding: Finding): string[] {
	const {campaign, property, seed, plan, violations, trace} = finding;
	return [
		`violated: ${property} (campaign ${campaign}, seed ${seed})`,
		...violations.slice(0, 5),
		JSON.stringify({campaign, property, plan}),
		...trace,
		'',
	];
}

function printLines(lines: readonly string[]): void {
	process.stdout.write(`${lines.join('\n')}\n`);
}
