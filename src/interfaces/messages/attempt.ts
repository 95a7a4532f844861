import {z} from 'zod';

/** Final result of a request, as reported to its caller. */
export const outcomeSchema = z.enum([
	'completed',
	'not_run',
	'failed',
	'unknown',
]);
export type Outcome = z.infer<typeof outcomeSchema>;

/** Targets and shares under which a request is served; copied from the records by the entry. */
export const contractSchema = z.object({
	workspace: z.string(),
	/** Name of the request class. */
	requestClass: z.string(),
	/** Service tier; 0 is the highest. */
	tier: z.int().min(0),
	/** Target time to the first token, in milliseconds. */
	firstTokenMs: z.number().positive(),
	/** Target time between tokens, in milliseconds. */
	gapMs: z.number().positive(),
	/** Minimum fraction of an endpoint's token time that the class gets while it has work waiting, 0 to 1. */
	share: z.number().min(0).max(1),
	/** Relative weight of the workspace inside its class. */
	weight: z.number().positive(),
	/** A request is given up when its expected time to the first token exceeds this multiple of the target. */
	patience: z.number().positive(),
});
export type Contract = z.infer<typeof contractSchema>;

/** Properties of a request from which a sidecar decides whether and when to run it. */
export const profileSchema = z.object({
	contract: contractSchema,
	/** Model name, or the name of a plain service. */
	target: z.string(),
	kind: z.enum(['model', 'service']),
	/** Estimated length of the prompt, in tokens; 0 for a plain service. */
	promptTokens: z.int().min(0),
	/** Maximum number of tokens that the caller allows in the answer. */
	maxTokens: z.int().positive().optional(),
	/** Hashes of the prompt's leading blocks at the sampled lengths (`sampledLength`), shortest prefix first. */
	prefix: z.array(z.string()),
});
export type Profile = z.infer<typeof profileSchema>;

/** Tokens in one prompt prefix block. */
export const prefixBlockTokens = 64;

/** State in the run record of an idempotency key that has been used before. */
export const recordedRunSchema = z.object({
	/** `mismatch`: the key was used for another call. `running`: it may still be in progress. */
	state: z.enum(['running', 'completed', 'failed', 'unknown', 'mismatch']),
	/** Attempt that claimed the key; absent when the record cannot be read. */
	attempt: z.string().optional(),
	/** HTTP status of the answer, when there was one. */
	status: z.int().optional(),
});
export type RecordedRun = z.infer<typeof recordedRunSchema>;

/** Refusal of an offer or an attempt by a sidecar. */
export const refusalSchema = z.object({
	reason: z.enum([
		'overloaded',
		'leaving',
		'not_eligible',
		'wrong_incarnation',
		'cancelled',
		/** The workspace has cancelled the request itself. */
		'withdrawn',
		'deadline',
		'claim_unavailable',
		'duplicate',
	]),
	/** Time after which a retry may succeed, in milliseconds. */
	retryAfterMs: z.number().min(0),
	/** Present with the reason `duplicate`. */
	recorded: recordedRunSchema.optional(),
});
export type Refusal = z.infer<typeof refusalSchema>;

/** Reply to an offer: whether the sidecar would run the request, and how soon. */
export const offerReplySchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('accept'),
		/** Expected time to the first token, in milliseconds. */
		firstTokenMs: z.number().min(0),
		/** Prompt tokens expected to be in the prefix cache. */
		cachedTokens: z.int().min(0),
	}),
	z.object({type: z.literal('refuse'), refusal: refusalSchema}),
]);
export type OfferReply = z.infer<typeof offerReplySchema>;

/** Progress of an attempt, sent by a sidecar to the entry that started it. */
export const updateSchema = z.discriminatedUnion('type', [
	/** The attempt has not run and will never run. */
	z.object({
		type: z.literal('refused'),
		attempt: z.string(),
		refusal: refusalSchema,
	}),
	/** The call has been handed to the endpoint. */
	z.object({type: z.literal('started'), attempt: z.string()}),
	z.object({
		type: z.literal('head'),
		attempt: z.string(),
		status: z.int(),
		headers: z.record(z.string(), z.string()),
		binary: z.boolean(),
	}),
	z.object({
		type: z.literal('chunk'),
		attempt: z.string(),
		/** Counts the chunks of the whole answer from 1, over all attempts. */
		sequence: z.int().positive(),
		data: z.string(),
		tokens: z.int().min(0),
	}),
	z.object({
		type: z.literal('ended'),
		attempt: z.string(),
		outcome: outcomeSchema,
		/** Sequence number of the last chunk, so that the receiver detects missing chunks. */
		sequence: z.int().min(0),
		reason: z.string(),
	}),
]);
export type Update = z.infer<typeof updateSchema>;
