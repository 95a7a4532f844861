import {mix32} from '../../base/index.js';
import type {PrefixLink} from './prefix-index.js';
import type {Upstream} from './upstream.js';

/** Time to another data centre and back, in milliseconds. */
const roundTripMs = 2.8;

/** Cost of sending a kilobyte to another data centre, in milliseconds of a caller's time: the bytes are billed. A prompt of 13 KB must gain 26 ms. */
const costMsPerKilobyte = 2;

/** Bytes of the heads of a request and its answer, and of a short answer. */
const headBytes = 1000;

/** Servers of other data centres among which a request chooses. Each request has its own two, so that not all gateways choose the one that their reports show as the least loaded. */
const choices = 2;

/** Age in milliseconds above which nothing is known of the load in another data centre: that of a report that is ignored. */
const maxKnownAgeMs = 1000;

/** Time in which the pressure follows the state of the own data centre, in milliseconds: several reports of all gateways. */
const pressureMs = 1000;

/** Longest time for which one observation of that state counts, in milliseconds. */
const maxObservedMs = 100;

/** Fraction of its slots that a server must have free, under full pressure, to get all requests of its own data centre again. */
const returnFraction = 0.25;

/** Fraction of its slots that a server elsewhere keeps free for its own data centre while this one can still queue a request: its own requests would otherwise have to leave in turn. */
const reservedFraction = 0.25;

/** Requests that may queue at a server elsewhere when this data centre cannot queue any more. */
const queuedElsewhere = 1;

/** How full the servers of the own data centre have been lately, for one service. It keeps requests from all returning at the moment at which one slot is free, which all gateways see at once. */
export class LocalPressure {
	#share = 0;
	#observedAt: number | undefined;

	/** Moving average, 0 when there was room all the time and 1 when there was none. */
	get share(): number {
		return this.#share;
	}

	/** Records whether all servers of the own data centre are full. */
	observe(isFull: boolean, now: number): void {
		const elapsedMs = Math.min(
			maxObservedMs,
			now - (this.#observedAt ?? now - maxObservedMs),
		);
		const weight = 1 - Math.exp(-elapsedMs / pressureMs);
		this.#share += weight * (Number(isFull) - this.#share);
		this.#observedAt = now;
	}
}

/** Request that may leave its data centre. */
export type SpillRequest = {
	/** Data centre of this gateway. */
	readonly dataCentre: string;
	/** Hash chain of the parts of its prompt. */
	readonly links: readonly PrefixLink[];
	/** Size of its body, in bytes. */
	readonly bodyBytes?: number;
	/** Equal at all gateways, and different for each request. */
	readonly hash?: number;
	/** Pressure on the service in the own data centre; absent where it is not observed. */
	readonly pressure?: LocalPressure;
};

/** Free capacity of a server for a request, in slots. */
export type FreeSlots = (upstream: Upstream) => number;

/** Cost of sending a request to another data centre, in milliseconds. */
export function leavingCostMs({bodyBytes = 0}: SpillRequest): number {
	return roundTripMs + ((bodyBytes + headBytes) / 1000) * costMsPerKilobyte;
}

/**
 * Plain servers among which a request chooses. Where those of the own data centre
 * have room it stays there. Otherwise two servers elsewhere are added, chosen by its hash in proportion to their free slots; the cost of
 * leaving then decides. All gateways decide alike from the same reports, and a
 * moderate error of one of them sends few requests to the wrong place.
 */
export function spillChoices(
	request: SpillRequest,
	upstreams: readonly Upstream[],
	freeSlots: FreeSlots,
	now: number,
): readonly Upstream[] {
	const isLocal = ({listed}: Upstream) =>
		listed.dataCentre === request.dataCentre;
	const local = upstreams.filter((upstream) => isLocal(upstream));
	if (local.length === upstreams.length) {
		return upstreams;
	}

	const isFull = local.every((each) => freeSlots(each) < 1);
	request.pressure?.observe(isFull, now);
	const elsewhere = upstreams.filter((upstream) => !isLocal(upstream));
	const stays = local.some(
		(each) => freeSlots(each) >= neededSlots(request, each),
	);
	const canQueue = local.length > 0;
	const chosen = stays
		? []
		: choose(
				request,
				elsewhere,
				(each) =>
					freeSlots(each) -
					(canQueue ? each.listed.slots * reservedFraction : -queuedElsewhere),
				now,
			);
	return [...local, ...chosen];
}

/** Slots that must be free at a server of the own data centre for a request to stay: one, and under pressure more for some requests than for others, so that they return one by one. */
function neededSlots(
	{pressure, hash = 0}: SpillRequest,
	{listed}: Upstream,
): number {
	const share = pressure?.share ?? 0;
	return 1 + share * returnFraction * listed.slots * fraction(mix32(hash, 0));
}

/** Two servers by weighted rendezvous hashing. One of whose load nothing is known gets a single request of this gateway at a time. */
function choose(
	{hash = 0}: SpillRequest,
	elsewhere: readonly Upstream[],
	freeSlots: FreeSlots,
	now: number,
): Upstream[] {
	return elsewhere
		.map((upstream) => ({
			upstream,
			weight:
				upstream.loadAgeMs(now) < maxKnownAgeMs
					? freeSlots(upstream)
					: 1 - upstream.ownRunning,
		}))
		.filter(({weight}) => weight > 0)
		.map(({upstream, weight}) => {
			const draw = fraction(mix32(hash, upstream.key));
			return {upstream, score: -weight / Math.log(draw)};
		})
		.toSorted((a, b) => b.score - a.score)
		.slice(0, choices)
		.map(({upstream}) => upstream);
}

/** Maps a 32-bit hash to a number between 0 and 1, both excluded. */
function fraction(hash: number): number {
	return (hash + 0.5) / 2 ** 32;
}
