/** State of a gateway's local copies of the store's tables, with the time since each was last confirmed to be current, in milliseconds. */
export type CopyFreshness = {
	/** Era of the store that both copies belong to. */
	readonly era: number;
	readonly configurationVersion: number;
	readonly configurationAgeMs: number;
	/** Digest of the entries of all endpoints. */
	readonly endpointsDigest: number;
	readonly endpointsAgeMs: number;
};

/** Result of revalidating the local copy of one table against another gateway's. */
export type RevalidationResult =
	/** The copy was current `ageMs` milliseconds before the request was sent. */
	| {readonly type: 'current'; readonly ageMs: number}
	/** The other gateway holds a different version. */
	| {readonly type: 'different'}
	/** The other gateway has no recent confirmation, or one of an earlier era. */
	| {readonly type: 'unknown'};

/** Maximum age of another gateway's confirmation that replaces a call to the store, in milliseconds. */
const maxFreshnessAgeMs = 1300;

/** Whether another gateway's confirmations of both tables are recent enough to replace a call to the store. */
export function isRecent(freshness: CopyFreshness): boolean {
	return (
		Math.max(freshness.configurationAgeMs, freshness.endpointsAgeMs) <=
		maxFreshnessAgeMs
	);
}

/**
 * Revalidates a local copy against another gateway's. The age counts back from
 * the moment at which the request was sent, so neither a slow response nor a
 * suspended gateway makes a copy look more recent than it is. A confirmation of
 * an earlier era of the store confirms nothing in the present one.
 */
export function revalidate(
	own: {readonly era: number; readonly isEqual: boolean},
	peer: {readonly era: number; readonly ageMs: number},
): RevalidationResult {
	if (peer.ageMs > maxFreshnessAgeMs || peer.era < own.era) {
		return {type: 'unknown'};
	}

	return own.isEqual && peer.era === own.era
		? {type: 'current', ageMs: peer.ageMs}
		: {type: 'different'};
}
