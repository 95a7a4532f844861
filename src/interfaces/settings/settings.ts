import {parse} from 'ini';
import VError from 'verror';
import {z} from 'zod';
import {limitsSection} from './limits.js';
import {address, flag, identifier, peerKey, url} from './values.js';

const processSection = z.strictObject({
	role: z.enum(['entry', 'sidecar']),
	/** Name of this instance, as in the instance list. */
	instance: identifier,
	data_centre: identifier,
	region: identifier,
});

const addressesSection = z.strictObject({
	/** Where callers connect; entries only. */
	caller: address.optional(),
	/** Where other processes of the system connect. */
	peer: address.optional(),
	/** Address that peers are told to use, when it is not the one listened on. */
	advertise: address.optional(),
	/** State dump and health. */
	admin: address,
	/** Allows an admin address that is not on loopback. */
	admin_remote: flag.default(false),
});

const peersSection = z.strictObject({
	key: peerKey,
	/** Key that is still accepted while keys are rotated. */
	previous_key: peerKey.optional(),
});

const platformSection = z.strictObject({
	table: url,
	instances: url,
});

const endpointSection = z.strictObject({
	type: z.enum(['engine', 'service']),
	url,
});

const metricsSection = z.strictObject({
	/** StatsD server; samples are sent only when it is set. */
	address: address.optional(),
	/** Put in front of each metric's name. */
	prefix: z
		.string()
		.regex(/^[\w.\-]{0,64}$/v, {
			error: 'up to 64 letters, digits, "_", "." and "-"',
		})
		.default('cicadaswitch.'),
});

const logSection = z.strictObject({
	format: z.enum(['text', 'json']).default('text'),
	level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
});

/** Settings of one process, as read from its INI file. */
export const settingsSchema = z.strictObject({
	process: processSection,
	addresses: addressesSection,
	peers: peersSection,
	platform: platformSection,
	endpoint: endpointSection.optional(),
	limits: limitsSection.prefault({}),
	metrics: metricsSection.prefault({}),
	log: logSection.prefault({}),
});
export type Settings = z.infer<typeof settingsSchema>;

/** The settings file is missing, unreadable or has a value that is not allowed. */
export class SettingsInvalid extends VError {
	override name = 'SettingsInvalid';
}

/** A value that is not allowed. */
type Mistake = {
	readonly path: readonly PropertyKey[];
	readonly message: string;
};

/**
 * Reads settings from INI text.
 *
 * Throws `SettingsInvalid`, whose message has one line for each mistake with
 * file, section, key, the value seen and what is allowed.
 */
export function parseSettings(text: string, file: string): Settings {
	// The library's objects have no prototype, which the schema does not take for objects.
	const raw: unknown = structuredClone(parse(text));
	const result = settingsSchema.safeParse(raw);
	const mistakes = [
		...(result.error?.issues ?? []).flatMap((issue) => mistakesOf(issue)),
		...mistakesAcrossSections(raw),
	];
	if (result.success && mistakes.length === 0) {
		return result.data;
	}

	const lines = mistakes.map(({path, message}) => {
		const [section = '', ...keys] = path.map(String);
		const place = [`[${section}]`, ...keys].join(' ');
		const seen = valueAt(raw, path);
		const shown =
			seen === undefined
				? 'nothing'
				: typeof seen === 'object'
					? 'a section'
					: JSON.stringify(seen);
		return `${file}: ${place}: ${shown} is not allowed: ${message}`;
	});
	throw new SettingsInvalid({}, '%s', lines.join('\n'));
}

/** One mistake for each unknown section or key, and one for any other issue. */
function mistakesOf(issue: z.core.$ZodIssue): Mistake[] {
	if (issue.code !== 'unrecognized_keys') {
		const missing = issue.code === 'invalid_type' && issue.input === undefined;
		return [
			{
				path: issue.path,
				message: missing ? `required (${issue.message})` : issue.message,
			},
		];
	}

	const kind = issue.path.length === 0 ? 'section' : 'key';
	return issue.keys.map((key) => ({
		path: [...issue.path, key],
		message: `unknown ${kind}`,
	}));
}

/** What depends on two settings; checked even when a section has mistakes of its own. */
function mistakesAcrossSections(raw: unknown): Mistake[] {
	const role = valueAt(raw, ['process', 'role']);
	const required =
		role === 'entry'
			? [
					['addresses', 'caller'],
					['addresses', 'peer'],
				]
			: role === 'sidecar'
				? [
						['addresses', 'peer'],
						['endpoint', 'url'],
					]
				: [];
	const mistakes = required
		.filter((path) => valueAt(raw, path) === undefined)
		.map((path) => ({path, message: `required for role "${String(role)}"`}));
	const admin = valueAt(raw, ['addresses', 'admin']);
	const isRemote = valueAt(raw, ['addresses', 'admin_remote']) === true;
	if (typeof admin === 'string' && !admin.startsWith('127.') && !isRemote) {
		mistakes.push({
			path: ['addresses', 'admin'],
			message: 'must be on loopback unless admin_remote is true',
		});
	}

	return mistakes;
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
	let current = value;
	for (const key of path) {
		if (typeof current !== 'object' || current === null) {
			return undefined;
		}

		current = Reflect.get(current, key);
	}

	return current;
}
