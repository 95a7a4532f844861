import process from 'node:process';
import {randomUUID} from 'node:crypto';
import {defineCommand} from 'citty';
import pLimit from 'p-limit';
import {connect, PeerKeys} from '../daemons/index.js';
import {HttpInstanceList} from '../interfaces/adapters/index.js';
import type {ListedInstance, Settings} from '../interfaces/index.js';
import {loadSettings} from './settings-file.js';

/** Connections opened at once. */
const concurrency = 50;

type InstanceRevision = {
	readonly instance: string;
	/** Revision in force; null when the instance did not answer. */
	readonly revision: number | null;
	readonly reason?: string;
};

export const inForceCommand = defineCommand({
	meta: {
		name: 'in-force',
		description:
			'Print the configuration revision in force in every instance; exit code 1 when one lacks --revision or does not answer',
	},
	args: {
		settings: {
			type: 'positional',
			description: 'INI settings file of any process of the fleet',
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
		const least = args.revision === undefined ? 0 : Number(args.revision);
		if (!Number.isInteger(least) || least < 0) {
			console.error('--revision takes a whole number');
			process.exit(2);
		}

		const instances = await new HttpInstanceList(
			settings.platform.instances,
		).list();
		const limit = pLimit(concurrency);
		const revisions = await Promise.all(
			instances.map(async (instance) =>
				limit(async () => askRevision(instance, settings)),
			),
		);
		const lacking = revisions.filter(
			({revision}) => revision === null || revision < least,
		);
		for (const row of args.revision === undefined ? revisions : lacking) {
			console.log(args.json ? JSON.stringify(row) : lineOf(row));
		}

		if (!args.json) {
			console.log(
				`${revisions.length - lacking.length} of ${revisions.length} instances have revision ${least} or later in force`,
			);
		}

		process.exit(lacking.length > 0 ? 1 : 0);
	},
});

/** Every process names the revision in force when a link is opened. */
async function askRevision(
	{id, address}: ListedInstance,
	settings: Settings,
): Promise<InstanceRevision> {
	try {
		const {link, peer} = await connect(address, {
			keys: new PeerKeys([settings.peers.key, settings.peers.previous_key]),
			own: {
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

function lineOf({instance, revision, reason}: InstanceRevision): string {
	return `${instance}\t${revision ?? `no answer: ${reason}`}`;
}
