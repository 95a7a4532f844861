#!/usr/bin/env node
import process from 'node:process';
import {defineCommand} from 'citty';
import {run} from './run.js';

/** Each command is loaded only when it runs, so that a daemon does not hold the code of the others in memory. */
const main = defineCommand({
	meta: {
		name: 'cicadaswitch',
		description:
			'Router for language-model traffic with service levels and priorities',
	},
	subCommands: {
		async entry() {
			const commands = await import('./daemon.js');
			return commands.daemonCommand('entry');
		},
		async sidecar() {
			const commands = await import('./daemon.js');
			return commands.daemonCommand('sidecar');
		},
		async check() {
			const commands = await import('./check.js');
			return commands.checkCommand;
		},
		async dump() {
			const commands = await import('./dump.js');
			return commands.dumpCommand;
		},
		async apply() {
			const commands = await import('./apply.js');
			return commands.applyCommand;
		},
		async get() {
			const commands = await import('./get.js');
			return commands.getCommand;
		},
		async list() {
			const commands = await import('./list.js');
			return commands.listCommand;
		},
		async diff() {
			const commands = await import('./diff.js');
			return commands.diffCommand;
		},
		async history() {
			const commands = await import('./history.js');
			return commands.historyCommand;
		},
		async delete() {
			const commands = await import('./delete.js');
			return commands.deleteCommand;
		},
		async validate() {
			const commands = await import('./validate.js');
			return commands.validateCommand;
		},
		async 'in-force'() {
			const commands = await import('./in-force.js');
			return commands.inForceCommand;
		},
		async explain() {
			const commands = await import('./explain.js');
			return commands.explainCommand;
		},
		async demo() {
			const commands = await import('./demo.js');
			return commands.demoCommand;
		},
		async experiment() {
			const commands = await import('./experiment.js');
			return commands.experimentCommand;
		},
		async bench() {
			const commands = await import('./bench.js');
			return commands.benchCommand;
		},
		async fuzz() {
			const commands = await import('./fuzz.js');
			return commands.fuzzCommand;
		},
		async 'spread-bench'() {
			const commands = await import('./spread-bench.js');
			return commands.spreadBenchCommand;
		},
		async capacity() {
			const commands = await import('./capacity.js');
			return commands.capacityCommand;
		},
	},
});

await run(main, process.argv.slice(2));
