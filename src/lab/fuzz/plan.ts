import {z} from 'zod';

const index = z.int().min(0).max(99);
const ms = z.int().min(0).max(600_000);
/** Time of the step, in milliseconds from the start of the run. */
const at = ms;

const requestStep = z.object({
	type: z.literal('request'),
	at,
	entry: index,
	workspace: index,
	requestClass: z.enum(['tight', 'loose']),
	target: z.enum(['model', 'service']),
	/** Length of the answer, in tokens. */
	length: z.int().min(1).max(1000),
	timeoutMs: ms,
	resumable: z.boolean(),
	/** Idempotency key of a non-idempotent request. */
	key: index.optional(),
	/** Number of requests sent at the same time; only the first carries the key. */
	copies: z.int().min(1).max(400),
	/** Time after which the caller closes its connection. */
	goneAfterMs: ms.optional(),
	/** For a resumable request: time after which a disconnected caller reconnects, to which entry, and whether it cancels the request. */
	returnAfterMs: ms.optional(),
	returnEntry: index.optional(),
	returnCancels: z.boolean().optional(),
	/** Time that the caller needs to consume one chunk. */
	takeMs: ms,
});

const processName = z.object({
	role: z.enum(['entry', 'sidecar']),
	index,
});

/** One action of a caller or an operator, or one fault. */
export const stepSchema = z.discriminatedUnion('type', [
	requestStep,
	/** The current connection is reset; both ends detect it. */
	z.object({type: z.literal('cut'), at, entry: index, endpoint: index}),
	/** The current connection delivers nothing any more; a new one works. */
	z.object({
		type: z.literal('silence'),
		at,
		entry: index,
		endpoint: index,
		direction: z.enum(['up', 'down', 'both']),
	}),
	/** Neither the current nor a new connection delivers anything for a time. */
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
		/** Whether the peers' connections are reset at once; otherwise they deliver nothing any more and time out. */
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
		/**
		 * What happens to an operation: it is refused; its answer is lost before or
		 * after the operation takes effect; it takes effect after the client has timed
		 * out; it has no effect and gets no answer for 30 s.
		 */
		mode: z.enum(['refused', 'lostBefore', 'lostAfter', 'late', 'hanging']),
	}),
]);
export type Step = z.infer<typeof stepSchema>;
export type RequestStep = z.infer<typeof requestStep>;

/** Complete input of one run: runs of the same plan are identical. */
export const planSchema = z.object({
	seed: z.int(),
	entries: z.int().min(1).max(8),
	engines: z.int().min(1).max(8),
	services: z.int().min(0).max(8),
	/** Whether some messages are delayed by retransmission. */
	lossy: z.boolean(),
	/** Time for one step of an engine's batch, and the target of both classes for the time between tokens, in milliseconds. */
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
