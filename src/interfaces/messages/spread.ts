import {z} from 'zod';
import {logEntrySchema, storedRecordSchema} from '../records/index.js';

/** Page of a snapshot of a peer's records, in order of key. */
export const snapshotPieceSchema = z.object({
	/** Key after which the piece starts; repeats that of the request. */
	after: z.string(),
	records: z.array(z.object({key: z.string(), record: storedRecordSchema})),
	/** Key after which the next piece starts; absent in the last one. */
	next: z.string().optional(),
});
export type SnapshotPiece = z.infer<typeof snapshotPieceSchema>;

/** `spread.push`: the revision in force at the sender, with changes that the receiver may lack. */
export const spreadPushSchema = z.object({
	type: z.literal('push'),
	/** Revision in force at the sender; 0 while it has none. */
	revision: z.int().min(0),
	/** Log entries in order of revision. */
	entries: z.array(logEntrySchema),
	/** Process that read the changes from the table; set on pushes that are forwarded. */
	origin: z.string().optional(),
	/** Set when the sender's log no longer reaches back to the receiver's revision. */
	snapshotOnly: z.boolean().optional(),
	snapshot: snapshotPieceSchema.optional(),
});

/** `spread.digest`: the sender's revision; the receiver answers with a push or, when it is behind the sender, with its own digest. */
export const spreadDigestSchema = z.object({
	type: z.literal('digest'),
	revision: z.int().min(0),
	/** Requests an answer even if there is nothing to send; set by a process that has no configuration yet. */
	ask: z.boolean().optional(),
	/** Requests the snapshot piece after this key. */
	snapshotAfter: z.string().optional(),
});

export const spreadMessageSchema = z.discriminatedUnion('type', [
	spreadPushSchema,
	spreadDigestSchema,
]);
export type SpreadMessage = z.infer<typeof spreadMessageSchema>;
export type SpreadPush = Extract<SpreadMessage, {type: 'push'}>;
export type SpreadDigest = Extract<SpreadMessage, {type: 'digest'}>;
