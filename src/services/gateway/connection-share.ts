/** Fraction of an endpoint's connections that the gateways use; the rest is for probes and for connections that are being closed. */
const usedFraction = 0.8;

/** Connections in use at most, as a multiple of the endpoint's slots: requests beyond the slots are queued there. */
const maxBusyFactor = 1.25;

/**
 * Idle connections that this gateway may keep to an endpoint, which accepts
 * `maxConnections` from all gateways together and resets those beyond. The
 * connections in use are bounded by the endpoint's slots, so the gateways share
 * what is left.
 */
export function maxIdleConnections(
	{maxConnections, slots}: {maxConnections: number; slots: number},
	gateways: number,
): number {
	const idle = maxConnections * usedFraction - slots * maxBusyFactor;
	return Math.max(1, Math.floor(idle / Math.max(1, gateways)));
}
