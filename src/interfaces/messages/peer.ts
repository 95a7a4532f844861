import {z} from 'zod';
import {
	offerReplySchema,
	outcomeSchema,
	profileSchema,
	updateSchema,
} from './attempt.js';

export const callSchema = z.object({
	method: z.string(),
	path: z.string(),
	headers: z.record(z.string(), z.string()),
	body: z.string(),
	binary: z.boolean().optional(),
});

export const resumePointSchema = z.object({
	sequence: z.int().min(0),
	text: z.string(),
	tokens: z.int().min(0),
});

/** Requests and notifications that an entry sends to a sidecar. */
export const entryToSidecarSchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('offer'),
		/** Pairs the reply with the offer; unique for each entry. */
		id: z.string(),
		profile: profileSchema,
		remainingMs: z.number(),
	}),
	z.object({
		type: z.literal('start'),
		attempt: z.string(),
		requestId: z.string(),
		/** Incarnation of the sidecar that the attempt is for; another one refuses it. */
		incarnation: z.string(),
		profile: profileSchema,
		call: callSchema,
		idempotent: z.boolean(),
		/** Key of the run record; present for a non-idempotent request. */
		idempotencyKey: z.string().optional(),
		/** Earlier attempts of the request that certainly did not run; their claims are replaced. */
		superseded: z.array(z.string()).optional(),
		/** The sidecar keeps the answer for a while when the link or the caller is lost. */
		resumable: z.boolean(),
		remainingMs: z.number(),
		resume: resumePointSchema.optional(),
	}),
	z.object({
		type: z.literal('cancel'),
		attempt: z.string(),
		/** Incarnation of the sidecar that the attempt was sent to. */
		incarnation: z.string().optional(),
		/** Time since the attempt was sent, in milliseconds; without it the sidecar cannot distinguish an attempt that it never received from one that it has forgotten. */
		ageMs: z.number().min(0).optional(),
	}),
	/** The caller has disconnected: a resumable attempt goes on for a while without an entry. */
	z.object({type: z.literal('detach'), attempt: z.string()}),
	z.object({
		type: z.literal('attach'),
		/** As for `cancel`; without `ageMs` the message is for a caller that requests a resumable answer again. */
		incarnation: z.string().optional(),
		ageMs: z.number().min(0).optional(),
		attempt: z.string(),
		/** Workspace of the caller; must be the one that started the attempt. */
		workspace: z.string(),
		/** Sequence number of the last chunk received. */
		after: z.int().min(0),
	}),
	/** Requests the status of a request, for a caller that may have sent it through another entry. */
	z.object({
		type: z.literal('query'),
		/** Pairs the reply with the query; unique for each entry. */
		id: z.string(),
		requestId: z.string(),
		/** Workspace of the caller; requests of other workspaces are not found. */
		workspace: z.string(),
		/** Cancels the request before the reply. */
		cancel: z.boolean(),
	}),
	z.object({
		type: z.literal('credit'),
		attempt: z.string(),
		/** Sequence number up to which the caller has received the answer. */
		upTo: z.int().min(0),
	}),
]);
export type EntryToSidecar = z.infer<typeof entryToSidecarSchema>;
export type AttemptStart = Extract<EntryToSidecar, {type: 'start'}>;

/** Identity that both ends of a link send in the handshake. */
export const helloSchema = z.object({
	instance: z.string(),
	role: z.enum(['entry', 'sidecar', 'operator']),
	incarnation: z.string(),
	dataCentre: z.string(),
	revision: z.int().min(0),
});
export type Hello = z.infer<typeof helloSchema>;

/** State of an attempt at a sidecar. */
export const attemptStatusSchema = z.object({
	attempt: z.string(),
	state: z.enum(['queued', 'running', 'ended']),
	/** Present when the attempt has ended. */
	outcome: outcomeSchema.optional(),
	/** Sequence number of the last chunk. */
	sequence: z.int().min(0),
});
export type AttemptStatus = z.infer<typeof attemptStatusSchema>;

/** Replies and notifications that a sidecar sends to an entry. */
export const sidecarToEntrySchema = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('offerReply'),
		id: z.string(),
		reply: offerReplySchema,
	}),
	z.object({type: z.literal('update'), update: updateSchema}),
	/** `status` is that of the latest attempt at the endpoint; absent when there is none. */
	z.object({
		type: z.literal('queryReply'),
		id: z.string(),
		status: attemptStatusSchema.optional(),
	}),
]);
export type SidecarToEntry = z.infer<typeof sidecarToEntrySchema>;
