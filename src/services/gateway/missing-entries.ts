/**
 * Time after an outage of the store for which an endpoint without an entry is still
 * used, in milliseconds: entries whose lease expired meanwhile are back within
 * about 2 s.
 */
const missingEntryGraceMs = 2000;

/** Fraction of `drainMs` for which an endpoint is used after it may have been removed; the rest is for requests that were sent meanwhile. */
const maxUseFraction = 0.8;

/** Time without contact to the store. */
export type Outage = {
	/** Time on the monotonic clock at which contact was regained, in milliseconds. */
	readonly endedAt: number;
	/** Time since the last confirmation before it, in milliseconds. */
	readonly durationMs: number;
};

/**
 * Time until which endpoints whose entries are missing are still used. After a
 * long outage, entries may be missing only because their leases could not be
 * renewed. After a short one, as after a single failed call, the endpoints are
 * used no longer than if they had been removed right after the last confirmation.
 */
export function missingEntryDeadline(
	{endedAt, durationMs}: Outage,
	drainMs: number,
): number {
	const shortOutageMs = drainMs * maxUseFraction;
	return durationMs < shortOutageMs
		? endedAt - durationMs + shortOutageMs
		: endedAt + missingEntryGraceMs;
}

/** The same after the store was restored from an older backup, which may lack the entries of new endpoints. */
export function restoredEntryDeadline(restoredAt: number): number {
	return restoredAt + missingEntryGraceMs;
}
