import * as z from 'zod';

/** Tokens of one era of the store: a token is the era times this, plus a counter. */
const tokensPerEra = 2 ** 32;

const leaseRecord = z.object({
	holder: z.string(),
	/** Identifies the process of the holder: a restarted one must not act on what an earlier one held. */
	incarnation: z.string(),
	token: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
	/** Identifies the write that left the row like this. */
	write: z.string(),
	/** The holder has stopped acting and will not act again under this token. */
	isReleased: z.boolean(),
	/** State of the duty itself; absent until its first write. */
	state: z.unknown().optional(),
});

/** Content of a duty's row. */
export type LeaseRecord = z.infer<typeof leaseRecord>;

/** Returns undefined for a text that is not a record; such a row is replaced like one whose holder has gone. */
export function parseLeaseRecord(text: string): LeaseRecord | undefined {
	try {
		return leaseRecord.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

export function eraOfToken(token: number): number {
	return Math.floor(token / tokensPerEra);
}

/** Lowest token that is in an era and above all tokens up to `highest`; it also rises across a store that was restored and lacks the last ones. */
export function nextToken(era: number, highest: number): number {
	return Math.max(
		highest + 1,
		era * tokensPerEra + (highest % tokensPerEra) + 1,
	);
}
