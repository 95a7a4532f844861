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
	entry: 'Run an entry, which accepts callers and forwards their requests',
	sidecar: 'Run the sidecar of one endpoint',
} as const satisfies Record<Role, string>;

/** Command that runs a process of one role until SIGTERM or SIGINT. */
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
					`${args.settings}: [process] role is "${settings.process.role}", but this command runs role "${role}"`,
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

/** Starts a daemon. SIGTERM and SIGINT drain it, and the process exits when all work in progress has ended. */
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
