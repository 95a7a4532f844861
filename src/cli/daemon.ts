import process from 'node:process';
import {defineCommand} from 'citty';
import loglevel from 'loglevel';
import {EntryDaemon, SidecarDaemon} from '../daemons/index.js';
import {HttpInstanceList, HttpTable} from '../interfaces/adapters/index.js';
import type {Settings} from '../interfaces/index.js';
import {loadSettings} from './settings-file.js';

type Role = Settings['process']['role'];

type Daemon = {
	start(): Promise<number>;
	drain(): Promise<void>;
	dispose(): void;
};

const descriptions = {
	entry: 'Run an entry: accepts callers and relays their requests',
	sidecar: 'Run the process beside one endpoint',
} as const satisfies Record<Role, string>;

/** Command that runs one of the system's processes until it is told to stop. */
export function daemonCommand(role: Role) {
	return defineCommand({
		meta: {name: role, description: descriptions[role]},
		args: {
			settings: {
				type: 'positional',
				description: 'INI settings file',
				required: true,
			},
		},
		async run({args}) {
			loglevel.setLevel('info');
			const settings = await loadSettings(args.settings);
			if (settings.process.role !== role) {
				console.error(
					`${args.settings}: [process] role: "${settings.process.role}" is not allowed: this command runs role "${role}"`,
				);
				process.exit(2);
			}

			await runUntilStopped(createDaemon(settings));
		},
	});
}

function createDaemon(settings: Settings): Daemon {
	const options = {
		settings,
		table: new HttpTable(settings.platform.table),
		instances: new HttpInstanceList(settings.platform.instances),
		seed: process.pid,
	};
	switch (settings.process.role) {
		case 'entry': {
			return new EntryDaemon(options);
		}

		case 'sidecar': {
			return new SidecarDaemon(options);
		}
	}
}

/** Starts a daemon; SIGTERM and SIGINT drain it, and the process ends when nothing is in progress. */
async function runUntilStopped(daemon: Daemon): Promise<void> {
	const stop = async () => {
		await daemon.drain();
		daemon.dispose();
		process.exit(0);
	};

	process.once('SIGTERM', () => {
		void stop();
	});
	process.once('SIGINT', () => {
		void stop();
	});
	try {
		await daemon.start();
	} catch (error) {
		console.error(`cannot start: ${String(error)}`);
		process.exit(1);
	}
}
