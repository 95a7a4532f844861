#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';
import {applyCommand} from './apply.js';
import {capacityCommand} from './capacity.js';
import {checkCommand} from './check.js';
import {daemonCommand} from './daemon.js';
import {deleteCommand} from './delete.js';
import {demoCommand} from './demo.js';
import {diffCommand} from './diff.js';
import {dumpCommand} from './dump.js';
import {experimentCommand} from './experiment.js';
import {getCommand} from './get.js';
import {historyCommand} from './history.js';
import {listCommand} from './list.js';
import {spreadBenchCommand} from './spread-bench.js';
import {validateCommand} from './validate.js';

const main = defineCommand({
	meta: {
		name: 'cicadaswitch',
		description:
			'Router for language-model traffic with service levels and priorities',
	},
	subCommands: {
		apply: applyCommand,
		get: getCommand,
		list: listCommand,
		diff: diffCommand,
		history: historyCommand,
		delete: deleteCommand,
		validate: validateCommand,
		entry: daemonCommand('entry'),
		sidecar: daemonCommand('sidecar'),
		capacity: capacityCommand,
		check: checkCommand,
		dump: dumpCommand,
		demo: demoCommand,
		experiment: experimentCommand,
		'spread-bench': spreadBenchCommand,
	},
});

await runMain(main);
