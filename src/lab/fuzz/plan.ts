import {z} from 'zod';

const index = z.int().min(0).max(99);
const ms = z.int().min(0).max(600_000);
/** Time of the step, in milliseconds from the start. */
const at = ms;

const requestStep = z.object({
	type: z.literal('request'),
	at,
	entry: index,
	workspace: index,
	requestClass: z.enum(['tight', 'loose']),
	target: z.enum(['model', 'service']),
	/** Tokens of the answer. */
	length: z.int().min(1).max(1000),
	timeoutMs: ms,
	resumable: z.boolean(),
	/** Idempotency key of a non-idempotent request. */
	key: index.optional(),
	/** Requests that are sent at once; only the first carries the key. */
	copies: z.int().min(1).max(400),
	/** Time after which the caller goes away. */
	goneAfterMs: ms.optional(),
	/** Time after which the caller of a resumable request that was cut off comes back, to which entry, and whether it cancels. */
	returnAfterMs: ms.optional(),
	returnEntry: index.optional(),
	returnCancels: z.boolean().optional(),
	/** Time that the caller needs to take one chunk. */
	takeMs: ms,
});

const processName = z.object({
	role: z.enum(['entry', 'sidecar']),
	index,
});

/** One action of callers, operators or faults. */
export const stepSchema = z.discriminatedUnion('type', [
	requestStep,
	/** The connection is reset; both ends notice. */
	z.object({type: z.literal('cut'), at, entry: index, endpoint: index}),
	/** The present connection carries nothing any more; a new one works. */
	z.object({
		type: z.literal('silence'),
		at,
		entry: index,
		endpoint: index,
		direction: z.enum(['up', 'down', 'both']),
	}),
	/** Neither the present nor a new connection carries anything for a time. */
	z.object({
		type: z.literal('partition'),
		at,
		entry: index,
		endpoint: index,
		forMs: ms,
	}),
	z.object({type: z.literal('pause'), at, process: processName, forMs: ms}),
	z.object({
		type: z.literal('kill'),
		at,
		process: processName,
		downMs: ms,
		/** The peers' connections are reset at once; otherwise they only go silent. */
		reset: z.boolean(),
	}),
	z.object({type: z.literal('leave'), at, process: processName}),
	z.object({type: z.literal('crash'), at, endpoint: index, downMs: ms}),
	z.object({
		type: z.literal('slow'),
		at,
		endpoint: index,
		factor: z.number().min(1).max(100),
		forMs: ms,
	}),
	z.object({
		type: z.literal('table'),
		at,
		forMs: ms,
		/** What happens to an operation: refused; answer lost, with or without effect; effect after the answer was given up; no answer for long. */
		mode: z.enum(['refused', 'lostBefore', 'lostAfter', 'late', 'hanging']),
	}),
]);
export type Step = z.infer<typeof stepSchema>;
export type RequestStep = z.infer<typeof requestStep>;

/** Everything that one run in virtual time depends on. */
export const planSchema = z.object({
	seed: z.int(),
	entries: z.int().min(1).max(8),
	engines: z.int().min(1).max(8),
	services: z.int().min(0).max(8),
	/** Some messages are late because the transport sends them again. */
	lossy: z.boolean(),
	/** Time for one step of an engine's batch, and the target of both classes for the time between tokens. */
	engineGapMs: z.number().positive(),
	gapTargetMs: z.number().positive(),
	/** Guaranteed shares of the two classes. */
	shares: z.object({
		tight: z.number().min(0).max(1),
		loose: z.number().min(0).max(1),
	}),
	steps: z.array(stepSchema),
});
export type Plan = z.infer<typeof planSchema>;
