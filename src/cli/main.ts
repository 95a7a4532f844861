#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';
import {capacityCommand} from './capacity.js';
import {checkCommand} from './check.js';
import {daemonCommand} from './daemon.js';
import {demoCommand} from './demo.js';
import {dumpCommand} from './dump.js';
import {experimentCommand} from './experiment.js';
import {fuzzCommand} from './fuzz.js';
import {spreadBenchCommand} from './spread-bench.js';

const main = defineCommand({
	meta: {
		name: 'cicadaswitch',
		description:
			'Router for language-model traffic with service levels and priorities',
	},
	subCommands: {
		entry: daemonCommand('entry'),
		sidecar: daemonCommand('sidecar'),
		capacity: capacityCommand,
		check: checkCommand,
		dump: dumpCommand,
		demo: demoCommand,
		experiment: experimentCommand,
		fuzz: fuzzCommand,
		'spread-bench': spreadBenchCommand,
	},
});

await runMain(main);
