import {z} from 'zod';

export const memberStateSchema = z.enum(['alive', 'leaving', 'gone']);
export type MemberState = z.infer<typeof memberStateSchema>;

/** Last known state of one process. A higher incarnation replaces a lower one; within an incarnation the state only changes from alive to leaving to gone. */
export const memberFactSchema = z.object({
	id: z.string(),
	/** Incremented by the process itself at each start, and to refute a state that others report of it. */
	incarnation: z.int().min(0),
	state: memberStateSchema,
	/** Peer address, as "IP:port". */
	address: z.string(),
});
export type MemberFact = z.infer<typeof memberFactSchema>;

/** `spread.members`: membership facts, and a digest of all those that the sender has. */
export const membersMessageSchema = z.object({
	type: z.literal('members'),
	facts: z.array(memberFactSchema),
	/** Hash over all members whose state is not gone. */
	hash: z.int(),
	/** Number of a request that must be answered; the answer repeats it in `answers`. */
	ask: z.int().optional(),
	answers: z.int().optional(),
	/** Hash of each bucket of members, sent when the hashes over all members differ. */
	buckets: z.array(z.int()).optional(),
	/** Bucket that `facts` are from; the receiver sends back the facts of which it has a newer state. */
	bucket: z.int().min(0).optional(),
});
export type MembersMessage = z.infer<typeof membersMessageSchema>;
