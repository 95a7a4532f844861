import type {z} from 'zod';
import {
	endpointSchema,
	keySchema,
	placementSchema,
	recordSchema,
	requestClassSchema,
	ruleSchema,
	scheduleSchema,
	termSchema,
	workspaceSchema,
	type ConfigRecord,
	type RecordKind,
} from './record.js';

type Fields = Readonly<Record<string, unknown>>;

/** A record of any kind and schema version. */
export type VersionedFields = Fields & {readonly schema: number};

/**
 * Upgrade of a kind's records to the next schema version.
 *
 * A later version may add optional fields or fields with a default, at any
 * depth. It may not remove, rename or retype a field, because an operator of
 * the previous version reads the same row during a handover.
 */
export type SchemaStep = {
	/** Version that the step leads to. */
	readonly version: number;
	/** Fields that the version adds at the top level, with the value that a record of the previous version gets. */
	readonly adds: Fields;
};

/** Upgrade path of each kind, in order of version; the first version needs no step. */
export type UpgradePaths = Readonly<Record<RecordKind, readonly SchemaStep[]>>;

/** All kinds are at version 1. */
export const upgradePaths: UpgradePaths = {
	workspace: [],
	class: [],
	rule: [],
	endpoint: [],
	schedule: [],
	placement: [],
	key: [],
	term: [],
};

const schemas: Readonly<Record<RecordKind, z.ZodObject>> = {
	workspace: workspaceSchema,
	class: requestClassSchema,
	rule: ruleSchema,
	endpoint: endpointSchema,
	schedule: scheduleSchema,
	placement: placementSchema,
	key: keySchema,
	term: termSchema,
};

export function isRecordKind(kind: string): kind is RecordKind {
	return Object.hasOwn(schemas, kind);
}

/** Highest schema version of a kind that this build knows. */
export function knownSchemaVersion(
	kind: RecordKind,
	paths: UpgradePaths = upgradePaths,
): number {
	return paths[kind].at(-1)?.version ?? 1;
}

/** Upgrades a record to the version that this build knows; a record of a later version is returned unchanged. */
export function upgradeRecord(
	kind: RecordKind,
	record: VersionedFields,
	paths: UpgradePaths = upgradePaths,
): VersionedFields {
	let upgraded: VersionedFields = record;
	for (const step of paths[kind]) {
		if (upgraded.schema < step.version) {
			upgraded = {...step.adds, ...upgraded, schema: step.version};
		}
	}

	return upgraded;
}

function isFields(value: unknown): value is Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function mergeUnknownFields(
	stored: Fields,
	edited: Fields,
	known: ReadonlySet<string>,
): Fields {
	const result: Record<string, unknown> = {...edited};
	for (const [field, value] of Object.entries(stored)) {
		const editedValue = edited[field];
		if (editedValue === undefined && !known.has(field)) {
			result[field] = value;
		} else if (isFields(value) && isFields(editedValue) && field !== 'meta') {
			result[field] = mergeUnknownFields(value, editedValue, new Set());
		}
	}

	return result;
}

/**
 * Merges an edited record with the stored one; the result is what a writer stores.
 *
 * When the stored record is of a later version than this build knows, fields
 * that the edit lacks and this build does not know are kept, inside nested
 * objects too, and so is the version. An array is replaced as a whole.
 */
export function mergeRecord(
	kind: RecordKind,
	stored: VersionedFields | undefined,
	edited: VersionedFields,
	paths: UpgradePaths = upgradePaths,
): VersionedFields {
	if (!stored || stored.schema <= knownSchemaVersion(kind, paths)) {
		return upgradeRecord(kind, edited, paths);
	}

	const known = new Set([
		...Object.keys(schemas[kind].shape),
		...paths[kind].flatMap((step) => Object.keys(step.adds)),
	]);
	return {
		...mergeUnknownFields(stored, edited, known),
		schema: Math.max(stored.schema, edited.schema),
	};
}

/** Result of decoding a record. */
export type DecodedRecord =
	| {readonly type: 'record'; readonly record: ConfigRecord}
	/** A kind of a later build; kept but not interpreted. */
	| {readonly type: 'unknownKind'; readonly kind: string}
	| {readonly type: 'invalid'; readonly problems: readonly string[]};

/** Decodes a record of any schema version and preserves unknown fields. */
export function decodeRecord(
	value: unknown,
	paths: UpgradePaths = upgradePaths,
): DecodedRecord {
	if (!isFields(value) || typeof value.kind !== 'string') {
		return {type: 'invalid', problems: ['kind: missing']};
	}

	const {kind} = value;
	if (!isRecordKind(kind)) {
		return {type: 'unknownKind', kind};
	}

	const schema = typeof value.schema === 'number' ? value.schema : 0;
	const parsed = recordSchema.safeParse(
		schema > 0 ? upgradeRecord(kind, {...value, schema}, paths) : value,
	);
	return parsed.success
		? {type: 'record', record: parsed.data}
		: {
				type: 'invalid',
				problems: parsed.error.issues.map(
					(issue) => `${issue.path.join('.') || 'record'}: ${issue.message}`,
				),
			};
}
