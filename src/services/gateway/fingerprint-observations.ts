import type {FingerprintNotice} from './crash-notices.js';

/** Number of fingerprints that observations are kept of, against callers that send endless distinct requests. */
const maxObservations = 2000;

/** Latest time of an observation, by any gateway and by this one. */
export type Observation = {at: number; ownAt: number};

/** Drops observations that are too old, and the oldest ones beyond the limit. */
export function expireObservations(
	observations: Map<number, Observation>,
	now: number,
	maxAgeMs: number,
): void {
	for (const [fingerprint, {at}] of observations) {
		if (now - at >= maxAgeMs || observations.size > maxObservations) {
			observations.delete(fingerprint);
		}
	}
}

/** Keeps the latest times of an observation, the most recently observed fingerprint last. */
export function observe(
	observations: Map<number, Observation>,
	fingerprint: number,
	at: number,
	ownAt: number,
): void {
	const known = observations.get(fingerprint);
	observations.delete(fingerprint);
	observations.set(fingerprint, {
		at: Math.max(at, known?.at ?? at),
		ownAt: Math.max(ownAt, known?.ownAt ?? ownAt),
	});
}

/** Own observations only: what others observed would look more recent each time it is passed on. */
export function ownNotices(
	observations: ReadonlyMap<number, Observation>,
	now: number,
	maxAgeMs: number,
): FingerprintNotice[] {
	return [...observations]
		.map(([fingerprint, {ownAt}]) => ({fingerprint, ageMs: now - ownAt}))
		.filter(({ageMs}) => ageMs < maxAgeMs);
}
