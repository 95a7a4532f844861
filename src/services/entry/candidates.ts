import {rendezvous, type Random} from '../../base/index.js';
import type {EndpointView} from '../records/index.js';

/** Data centre and region in which the entry runs. */
export type Locality = {readonly dataCentre: string; readonly region: string};

/** Number of endpoints that are sent an offer in the first round of a request. */
export const firstRoundOffers = 3;

/** Maximum number of endpoints that are sent an offer before a request is refused. */
export const maxOffers = 16;

/**
 * Orders endpoints for offers: first the two of the entry's region that
 * rendezvous hashing selects for the prompt prefix, so that requests with the
 * same prefix reach warm caches, then the rest of the region and then the other
 * regions, each in random order.
 */
export function orderCandidates(
	endpoints: readonly EndpointView[],
	prefix: readonly string[],
	locality: Locality,
	random: Random,
): EndpointView[] {
	const near = endpoints.filter((item) => item.region === locality.region);
	const far = endpoints.filter((item) => item.region !== locality.region);
	const key = prefix[0];
	const warmNames = key
		? rendezvous(
				key,
				near.map((item) => item.name),
				2,
			)
		: [];
	const warmEndpoints = warmNames.map((name) =>
		near.find((item) => item.name === name)!,
	);
	const rest = near.filter((item) => !warmNames.includes(item.name));
	return [
		...warmEndpoints,
		...random.sample(rest, rest.length),
		...random.sample(far, far.length),
	].slice(0, maxOffers);
}
