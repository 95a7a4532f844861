import {parse} from 'ini';
import VError from 'verror';
import {z} from 'zod';

const addressPattern = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v;

const address = z.string().regex(addressPattern, {
	error: 'an IPv4 address and port such as 127.0.0.1:8080',
});
const url = z.string().regex(/^http:\/\/[\d.]+:\d+$/v, {
	error: 'a URL such as http://127.0.0.1:9000',
});
const identifier = z.string().regex(/^[a-z\d][a-z\d.\-]{0,62}$/v, {
	error: '1 to 63 of a-z, 0-9, "." and "-"',
});
const peerKey = z.string().min(16, {error: 'at least 16 characters'});

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
	/** Where entries connect to a sidecar; sidecars only. */
	peer: address.optional(),
	/** State dump and health; loopback unless set otherwise. */
	admin: address,
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

/** Settings of one process, as read from its INI file. */
export const settingsSchema = z
	.strictObject({
		process: processSection,
		addresses: addressesSection,
		peers: peersSection,
		platform: platformSection,
		endpoint: endpointSection.optional(),
	})
	.check((context) => {
		const {process, addresses, endpoint} = context.value;
		const required =
			process.role === 'entry'
				? ([['addresses', 'caller', addresses.caller]] as const)
				: ([
						['addresses', 'peer', addresses.peer],
						['endpoint', 'url', endpoint?.url],
					] as const);
		for (const [section, key, value] of required) {
			if (value === undefined) {
				context.issues.push({
					code: 'custom',
					path: [section, key],
					message: `required for role "${process.role}"`,
					input: undefined,
				});
			}
		}
	});
export type Settings = z.infer<typeof settingsSchema>;

/** The settings file is missing, unreadable or has a value that is not allowed. */
export class SettingsInvalid extends VError {
	override name = 'SettingsInvalid';
}

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
	if (result.success) {
		return result.data;
	}

	const lines = result.error.issues.map((issue) => {
		const [section = '', ...keys] = issue.path.map(String);
		const seen = valueAt(raw, issue.path);
		const shown = seen === undefined ? 'nothing' : JSON.stringify(seen);
		return `${file}: [${section}] ${keys.join('.')}: ${shown} is not allowed: ${issue.message}`;
	});
	throw new SettingsInvalid({}, '%s', lines.join('\n'));
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
