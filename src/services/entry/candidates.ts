import {rendezvous, type Random} from '../../base/index.js';
import type {EndpointView} from '../records/index.js';

/** Place of the entry itself. */
export type Place = {readonly dataCentre: string; readonly region: string};

/** Endpoints asked at once for each request. */
export const offerCount = 3;

/** Endpoints asked at most before a request is refused. */
export const maxOffers = 16;

/**
 * Order in which endpoints are asked: two by rendezvous hash of the prompt
 * prefix, which keeps callers of one prefix on warm caches, then the others at
 * random; those of the entry's own region come first.
 */
export function orderCandidates(
	endpoints: readonly EndpointView[],
	prefix: readonly string[],
	place: Place,
	random: Random,
): EndpointView[] {
	const near = endpoints.filter((item) => item.region === place.region);
	const far = endpoints.filter((item) => item.region !== place.region);
	const key = prefix[0];
	const warm = key
		? rendezvous(
				key,
				near.map((item) => item.name),
				2,
			)
		: [];
	const warmViews = warm.map((name) =>
		near.find((item) => item.name === name)!,
	);
	const rest = near.filter((item) => !warm.includes(item.name));
	return [
		...warmViews,
		...random.sample(rest, rest.length),
		...random.sample(far, far.length),
	].slice(0, maxOffers);
}
