#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';

/** Commands are loaded when they are run, so that a daemon does not hold the code of the others in memory. */
const main = defineCommand({
	meta: {
		name: 'cicadaswitch',
		description:
			'Router for language-model traffic with service levels and priorities',
	},
	subCommands: {
		entry: async () => {
			const commands = await import('./daemon.js');
			return commands.daemonCommand('entry');
		},
		sidecar: async () => {
			const commands = await import('./daemon.js');
			return commands.daemonCommand('sidecar');
		},
		check: async () => {
			const commands = await import('./check.js');
			return commands.checkCommand;
		},
		dump: async () => {
			const commands = await import('./dump.js');
			return commands.dumpCommand;
		},
		apply: async () => {
			const commands = await import('./apply.js');
			return commands.applyCommand;
		},
		get: async () => {
			const commands = await import('./get.js');
			return commands.getCommand;
		},
		list: async () => {
			const commands = await import('./list.js');
			return commands.listCommand;
		},
		diff: async () => {
			const commands = await import('./diff.js');
			return commands.diffCommand;
		},
		history: async () => {
			const commands = await import('./history.js');
			return commands.historyCommand;
		},
		delete: async () => {
			const commands = await import('./delete.js');
			return commands.deleteCommand;
		},
		validate: async () => {
			const commands = await import('./validate.js');
			return commands.validateCommand;
		},
		demo: async () => {
			const commands = await import('./demo.js');
			return commands.demoCommand;
		},
		experiment: async () => {
			const commands = await import('./experiment.js');
			return commands.experimentCommand;
		},
		fuzz: async () => {
			const commands = await import('./fuzz.js');
			return commands.fuzzCommand;
		},
		'spread-bench': async () => {
			const commands = await import('./spread-bench.js');
			return commands.spreadBenchCommand;
		},
		capacity: async () => {
			const commands = await import('./capacity.js');
			return commands.capacityCommand;
		},
	},
});

await runMain(main);
