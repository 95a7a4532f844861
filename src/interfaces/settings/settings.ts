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
	/** Address on which an entry accepts callers; required for entries. */
	caller: address.optional(),
	/** Address on which other processes of the system connect. */
	peer: address.optional(),
	/** Address announced to peers, when it differs from the one listened on. */
	advertise: address.optional(),
	/** Address of the admin server, which serves the state dump and health checks. */
	admin: address,
	/** Allows an admin address that is not on loopback. */
	admin_remote: flag.default(false),
});

const peersSection = z.strictObject({
	key: peerKey,
	/** Key that is still accepted during a key rotation. */
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
	/** Address of the StatsD server; no metrics are sent without it. */
	address: address.optional(),
	/** Prepended to the name of each metric. */
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

/** A value that is not allowed, or a required one that is missing. */
type Problem = {
	readonly path: readonly PropertyKey[];
	readonly message: string;
};

/**
 * Reads settings from INI text.
 *
 * Throws `SettingsInvalid`, whose message has one line for each problem with
 * file, section, key, the given value and what is allowed.
 */
export function parseSettings(text: string, file: string): Settings {
	// `ini` returns objects without a prototype, which zod rejects; the clones have one.
	const raw: unknown = structuredClone(parse(text));
	const result = settingsSchema.safeParse(raw);
	const problems = [
		...(result.error?.issues ?? []).flatMap((issue) => problemsOf(issue)),
		...crossSectionProblems(raw),
	];
	if (result.success && problems.length === 0) {
		return result.data;
	}

	const lines = problems.map(({path, message}) => {
		const [section = '', ...keys] = path.map(String);
		const location = [`[${section}]`, ...keys].join(' ');
		const value = valueAt(raw, path);
		const shown =
			value === undefined
				? 'a missing value'
				: typeof value === 'object'
					? 'a section'
					: JSON.stringify(value);
		return `${file}: ${location}: ${shown} is not allowed: ${message}`;
	});
	throw new SettingsInvalid({}, '%s', lines.join('\n'));
}

/** One problem for each unknown section or key, and one for any other issue. */
function problemsOf(issue: z.core.$ZodIssue): Problem[] {
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

/** Checks constraints between sections, even when a section has problems of its own. */
function crossSectionProblems(raw: unknown): Problem[] {
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
	const problems = required
		.filter((path) => valueAt(raw, path) === undefined)
		.map((path) => ({path, message: `required for role "${String(role)}"`}));
	const admin = valueAt(raw, ['addresses', 'admin']);
	const isRemote = valueAt(raw, ['addresses', 'admin_remote']) === true;
	if (typeof admin === 'string' && !admin.startsWith('127.') && !isRemote) {
		problems.push({
			path: ['addresses', 'admin'],
			message: 'must be on loopback unless admin_remote is true',
		});
	}

	return problems;
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
