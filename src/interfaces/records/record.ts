import {z} from 'zod';

/** Set by the record writer with each accepted change; a file that an operator submits may carry it for compare-and-set. */
export const recordMetaSchema = z.looseObject({
	/** Configuration revision of the record's last change. */
	revision: z.int().positive(),
	/** Operator that made the record's last change. */
	operator: z.string(),
	writeId: z.string(),
});
export type RecordMeta = z.infer<typeof recordMetaSchema>;

const name = z.string().regex(/^[a-z\d][a-z\d._\-]{0,62}$/v, {
	error:
		'use 1 to 63 of a-z, 0-9, ".", "_" and "-", starting with a letter or digit',
});

const envelope = {
	/** Version of the record's schema; readers preserve unknown fields of later versions. */
	schema: z.int().positive(),
	name,
	meta: recordMetaSchema.optional(),
};

/** A customer of an operator, with its API keys and the classes that it may use. */
export const workspaceSchema = z.looseObject({
	...envelope,
	kind: z.literal('workspace'),
	/** SHA-256 of each valid API key, in hexadecimal. */
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/v)),
	/** Weight relative to the other workspaces of a class. */
	weight: z.number().positive().default(1),
	classes: z.array(name).min(1),
});
export type Workspace = z.infer<typeof workspaceSchema>;

/** A request class: its tier, latency targets and guaranteed share. */
export const requestClassSchema = z.looseObject({
	...envelope,
	kind: z.literal('class'),
	/** Service tier; 0 is the highest. */
	tier: z.int().min(0).max(9),
	/** Target time to the first token, in milliseconds. */
	firstTokenMs: z.number().positive(),
	/** Target time between tokens, in milliseconds. */
	gapMs: z.number().positive(),
	/** Guaranteed fraction of an endpoint's token time, 0 to 1. */
	share: z.number().min(0).max(1).default(0),
	/** A request is given up when its expected time to the first token exceeds this multiple of the target. */
	patience: z.number().positive().default(1),
	/** Maximum total time of a request, in milliseconds. */
	timeoutMs: z.number().positive().default(600_000),
});
export type RequestClass = z.infer<typeof requestClassSchema>;

/** Which endpoints may serve a model or a plain service. */
export const ruleSchema = z.looseObject({
	...envelope,
	kind: z.literal('rule'),
	/** Model name or plain service name. */
	target: z.string().min(1),
	targetKind: z.enum(['model', 'service']),
	/** Names of endpoints; a trailing "*" matches any ending. */
	endpoints: z.array(z.string().min(1)),
	/** Calls of a plain service that must not be sent twice. */
	nonIdempotent: z
		.array(z.object({method: z.string(), pathPrefix: z.string()}))
		.default([]),
});
export type Rule = z.infer<typeof ruleSchema>;

/** A model engine or plain service instance with its sidecar. */
export const endpointSchema = z.looseObject({
	...envelope,
	kind: z.literal('endpoint'),
	type: z.enum(['engine', 'service']),
	dataCentre: name,
	region: name,
});
export type EndpointRecord = z.infer<typeof endpointSchema>;

/** Endpoint names; a trailing "*" matches any ending. */
const endpointPatterns = z.array(z.string().min(1)).min(1);

/** A planned action on endpoints, once or repeatedly. */
export const scheduleSchema = z.looseObject({
	...envelope,
	kind: z.literal('schedule'),
	endpoints: endpointPatterns,
	action: z.discriminatedUnion('type', [
		z.looseObject({type: z.literal('start')}),
		z.looseObject({type: z.literal('stop')}),
		z.looseObject({
			type: z.literal('load'),
			model: z.string().min(1),
			version: z.string().min(1),
		}),
		z.looseObject({type: z.literal('unload'), model: z.string().min(1)}),
		z.looseObject({type: z.literal('role'), role: z.string().min(1)}),
	]),
	/** First occurrence, ISO 8601 in UTC. */
	startsAt: z.iso.datetime(),
	/** Period of repetition, in minutes; absent for a single occurrence. */
	everyMinutes: z.int().positive().optional(),
	/** No occurrence at or after this time, ISO 8601 in UTC. */
	endsAt: z.iso.datetime().optional(),
	/** The action may remove the last serving endpoint of a model with demand. */
	force: z.boolean().default(false),
});
export type Schedule = z.infer<typeof scheduleSchema>;

/** Assigns a model version to the endpoints that hold it. */
export const placementSchema = z.looseObject({
	...envelope,
	kind: z.literal('placement'),
	model: z.string().min(1),
	version: z.string().min(1),
	/** Size of the weights, in bytes; reserved at the weight store before loading. */
	bytes: z.int().min(0),
	endpoints: endpointPatterns,
});
export type Placement = z.infer<typeof placementSchema>;

/** A key with which peers or operators authenticate; two may be valid at the same time, for rotation. */
export const keySchema = z.looseObject({
	...envelope,
	kind: z.literal('key'),
	purpose: z.enum(['peer', 'operator']),
	/** SHA-256 of the key, in hexadecimal. */
	hash: z.string().regex(/^[\da-f]{64}$/v),
	validFrom: z.iso.datetime().optional(),
	validUntil: z.iso.datetime().optional(),
});
export type Key = z.infer<typeof keySchema>;

/** Range of revisions that an operator may write; the record has the operator's name. */
export const termSchema = z.looseObject({
	...envelope,
	kind: z.literal('term'),
	/** First revision that the operator may write. */
	startsAtRevision: z.int().positive(),
	/** Last revision that the operator may write; absent while no end is set. */
	endsAtRevision: z.int().positive().optional(),
	/** Operator that writes from the next revision on; required with an end, so that a handover always leaves an operator that can write. */
	successor: name.optional(),
});
export type Term = z.infer<typeof termSchema>;

export const recordSchema = z.discriminatedUnion('kind', [
	workspaceSchema,
	requestClassSchema,
	ruleSchema,
	endpointSchema,
	scheduleSchema,
	placementSchema,
	keySchema,
	termSchema,
]);
/** A versioned record that an operator writes. */
export type ConfigRecord = z.infer<typeof recordSchema>;

export type RecordKind = ConfigRecord['kind'];

/** Key of a record's row in the table. */
export function recordKey(record: {kind: string; name: string}): string {
	return `record/${record.kind}/${record.name}`;
}
