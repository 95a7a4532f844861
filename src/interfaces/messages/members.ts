import {z} from 'zod';

export const memberStateSchema = z.enum(['alive', 'leaving', 'gone']);
export type MemberState = z.infer<typeof memberStateSchema>;

/** What is known of one process. A higher incarnation replaces a lower one; within an incarnation the state only moves from alive over leaving to gone. */
export const memberFactSchema = z.object({
	id: z.string(),
	/** Raised by the process itself at each start, and to refute what others say of it. */
	incarnation: z.int().min(0),
	state: memberStateSchema,
	/** Peer address, as "IP:port". */
	address: z.string(),
});
export type MemberFact = z.infer<typeof memberFactSchema>;

/** `spread.members`: membership facts and a digest of those that the sender holds. */
export const membersMessageSchema = z.object({
	type: z.literal('members'),
	facts: z.array(memberFactSchema),
	/** Hash over all members that are not gone. */
	hash: z.int(),
	/** Asks for an answer in any case; the answer repeats the number. */
	ask: z.int().optional(),
	answers: z.int().optional(),
	/** Hash of each bucket of members, sent when the hashes differ. */
	buckets: z.array(z.int()).optional(),
	/** Bucket of which `facts` are a part; the receiver sends back what it knows better. */
	bucket: z.int().min(0).optional(),
});
export type MembersMessage = z.infer<typeof membersMessageSchema>;
