import {z} from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d._\-]{0,62}$/v, {
	error:
		'use 1 to 63 of a-z, 0-9, ".", "_" and "-", starting with a letter or digit',
});

const envelope = {
	/** Version of the record's schema; readers keep fields of later versions that they do not know. */
	schema: z.int().positive(),
	name,
};

/** A customer of an operator, with its API keys and the classes that it may use. */
export const workspaceSchema = z.looseObject({
	...envelope,
	kind: z.literal('workspace'),
	/** SHA-256 of each valid API key, in hexadecimal. */
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/v)),
	/** Relative share inside a class. */
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
	/** Guaranteed share of an endpoint's token time, 0 to 1. */
	share: z.number().min(0).max(1).default(0),
	/** A request is given up when its expected first-token time exceeds this multiple of the target. */
	patience: z.number().positive().default(1),
	/** Longest time that a request may take in all, in milliseconds. */
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
	/** Calls of a plain service that may not be repeated. */
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

export const recordSchema = z.discriminatedUnion('kind', [
	workspaceSchema,
	requestClassSchema,
	ruleSchema,
	endpointSchema,
]);
/** A versioned record that an operator writes. */
export type ConfigRecord = z.infer<typeof recordSchema>;

/** Key of a record's row in the table. */
export function recordKey(record: {kind: string; name: string}): string {
	return `record/${record.kind}/${record.name}`;
}
