import process from 'node:process';
import {randomUUID} from 'node:crypto';
import {defineCommand} from 'citty';
import pLimit from 'p-limit';
import {connect, PeerKeys} from '../daemons/index.js';
import {HttpInstanceList} from '../interfaces/adapters/index.js';
import type {ListedInstance, Settings} from '../interfaces/index.js';
import {loadSettings} from './settings-file.js';

/** Maximum number of connections that are open at the same time. */
const maxConnections = 50;

type InstanceRevision = {
	readonly instance: string;
	/** Revision in force; null when the instance did not answer, with the error as `reason`. */
	readonly revision: number | null;
	readonly reason?: string;
};

export const inForceCommand = defineCommand({
	meta: {
		name: 'in-force',
		description:
			'Print the configuration revision in force in every instance; exit code 1 when an instance is behind --revision or does not answer',
	},
	args: {
		settings: {
			type: 'positional',
			description: 'INI settings file of any process in the fleet',
			required: true,
		},
		revision: {
			type: 'string',
			description: 'List only instances in which this revision is not in force',
		},
		json: {type: 'boolean', description: 'Print JSON, one value per line'},
	},
	async run({args}) {
		const settings = await loadSettings(args.settings);
		const minRevision = args.revision === undefined ? 0 : Number(args.revision);
		if (!Number.isInteger(minRevision) || minRevision < 0) {
			console.error('--revision takes a non-negative integer');
			process.exit(2);
		}

		const instances = await new HttpInstanceList(
			settings.platform.instances,
		).list();
		const limit = pLimit(maxConnections);
		const revisions = await Promise.all(
			instances.map(async (instance) =>
				limit(async () => fetchRevision(instance, settings)),
			),
		);
		const notInForce = revisions.filter(
			({revision}) => revision === null || revision < minRevision,
		);
		for (const row of args.revision === undefined ? revisions : notInForce) {
			console.log(args.json ? JSON.stringify(row) : formatLine(row));
		}

		if (!args.json) {
			console.log(
				`${revisions.length - notInForce.length} of ${revisions.length} instances have revision ${minRevision} or later in force`,
			);
		}

		process.exit(notInForce.length > 0 ? 1 : 0);
	},
});

/** Opens a link to an instance and reads the revision in force from its handshake. */
async function fetchRevision(
	{id, address}: ListedInstance,
	settings: Settings,
): Promise<InstanceRevision> {
	try {
		const {link, peer} = await connect(address, {
			keys: new PeerKeys([settings.peers.key, settings.peers.previous_key]),
			localHello: {
				instance: `operator-${randomUUID()}`,
				role: 'operator',
				incarnation: randomUUID(),
				dataCentre: settings.process.data_centre,
				revision: 0,
			},
		});
		link.dispose();
		return {instance: id, revision: peer.revision};
	} catch (error) {
		return {instance: id, revision: null, reason: String(error)};
	}
}

function formatLine({instance, revision, reason}: InstanceRevision): string {
	return `${instance}\t${revision ?? `no answer: ${reason}`}`;
}
