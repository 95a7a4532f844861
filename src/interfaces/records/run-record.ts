import {z} from 'zod';

const common = {
	/** Version of the record's schema. */
	schema: z.int().positive(),
	/** Identifies the write, so that its writer recognises it after a lost response. */
	writeId: z.string(),
	/** Attempts that must never claim the record. */
	revoked: z.array(z.string()),
	/** Wall-clock time from which the record may be deleted, in milliseconds since 1970. */
	expiresAt: z.number(),
};

const claim = {
	attempt: z.string(),
	requestId: z.string(),
	endpoint: z.string(),
	/** Incarnation of the sidecar that made the claim. */
	incarnation: z.string(),
	/** Hash of the call, to detect a key that is reused for another call. */
	fingerprint: z.string(),
	/** Wall-clock time by which the claimant has ended the call, in milliseconds since 1970. */
	endsBy: z.number(),
};

/** Answer of a completed call; its chunks have the sequence numbers from 1. */
export const storedAnswerSchema = z.object({
	headers: z.record(z.string(), z.string()),
	/** Set when the chunks are base64 text. */
	binary: z.boolean(),
	chunks: z.array(z.string()),
});
export type StoredAnswer = z.infer<typeof storedAnswerSchema>;

/** State of a request that must not run twice, as stored in the table. */
export const runRecordSchema = z.discriminatedUnion('state', [
	/** A sidecar has or had the right to run the call. */
	z.looseObject({...common, ...claim, state: z.literal('claimed')}),
	/** The call has ended. */
	z.looseObject({
		...common,
		...claim,
		state: z.literal('completed'),
		outcome: z.enum(['completed', 'failed', 'unknown']),
		/** HTTP status of the answer; absent when there was none. */
		status: z.int().optional(),
		/** Absent when the answer was too large to keep. */
		answer: storedAnswerSchema.optional(),
	}),
	/** Nobody has the right to run the call at present. */
	z.looseObject({...common, state: z.literal('revoked')}),
]);
export type RunRecord = z.infer<typeof runRecordSchema>;
export type RunClaim = Extract<RunRecord, {state: 'claimed'}>;
export type RunCompletion = Extract<RunRecord, {state: 'completed'}>;

/** Version of the run record's schema that this release writes. */
export const runRecordVersion = 1;

/** Retention of a run record, in milliseconds; after it, a request with the same key runs again. */
export const runRetentionMs = 24 * 3_600_000;

/** Prefix of the keys of all run records. */
export const runPrefix = 'run/';

/** Key of a run record's row in the table. */
export function runKey(workspace: string, idempotencyKey: string): string {
	return `${runPrefix}${workspace}/${encodeURIComponent(idempotencyKey)}`;
}
