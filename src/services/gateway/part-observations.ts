import type {PartNotice} from './crash-notices.js';

/** Number of parts that observations are kept of, against callers that name endless parts. */
const maxObservations = 2000;

/** Latest time of an observation, by any gateway and by this one. */
export type Observation = {at: number; ownAt: number};

/** Drops observations that are too old, and the oldest ones beyond the limit. */
export function expireObservations(
	observations: Map<number, Observation>,
	now: number,
	maxAgeMs: number,
): void {
	for (const [part, {at}] of observations) {
		if (now - at >= maxAgeMs || observations.size > maxObservations) {
			observations.delete(part);
		}
	}
}

/** Keeps the latest times of an observation, the most recently observed part last. */
export function observe(
	observations: Map<number, Observation>,
	part: number,
	at: number,
	ownAt: number,
): void {
	const known = observations.get(part);
	observations.delete(part);
	observations.set(part, {
		at: Math.max(at, known?.at ?? at),
		ownAt: Math.max(ownAt, known?.ownAt ?? ownAt),
	});
}

/** Own observations only: what others observed would look more recent each time it is passed on. */
export function ownNotices(
	observations: ReadonlyMap<number, Observation>,
	now: number,
	maxAgeMs: number,
): PartNotice[] {
	return [...observations]
		.map(([part, {ownAt}]) => ({part, ageMs: now - ownAt}))
		.filter(({ageMs}) => ageMs < maxAgeMs);
}
