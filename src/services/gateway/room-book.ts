import {hash32, mix32} from '../../base/index.js';
import type {EndpointSet} from './endpoint-set.js';
import type {KeptBacklog, PeerLoads, Reservation} from './peer-loads.js';
import {backlogOf, timeToRoomMs} from './placement.js';
import type {Backlog} from './reading-plan.js';
import type {Upstream} from './upstream.js';

/** Least prompt tokens for which room is asked; smaller prompts are read before an answer matters. */
const minAskTokens = 500;

/** Time until a gateway asks again for room at an engine when nobody has answered, in milliseconds: a path takes 1 ms. */
const unansweredWaitMs = 40;

/** A gateway's question whether an engine has room for a prompt. */
export type RoomAsk = Reservation & {
	/** 0 is the highest. */
	readonly tier: number;
};

export type RoomAnswer =
	| {readonly type: 'granted'}
	| {readonly type: 'denied'; readonly backlog: Backlog}
	/** The gateway that was asked says nothing. */
	| {readonly type: 'unanswered'};

/**
 * Book of the engines for which this gateway decides about room. Each engine
 * has one such gateway, chosen by rendezvous hashing among those heard of
 * lately, so decisions are spread evenly and need no election. Answers load
 * near capacity with many gateways: by reports alone, all of them see the same
 * engine free at the same moment and fill it several times over.
 */
export class RoomBook {
	/** Hash of this gateway's name. */
	readonly #ownHash: number;
	readonly #endpoints: EndpointSet;
	readonly #loads: PeerLoads;

	constructor(gateway: string, endpoints: EndpointSet, loads: PeerLoads) {
		this.#ownHash = hash32(gateway);
		this.#endpoints = endpoints;
		this.#loads = loads;
	}

	/** Gateway to ask for room at an engine; undefined when this one decides, or none has to. */
	keeper(
		upstream: Upstream,
		uncachedTokens: number,
		now: number,
	): string | undefined {
		if (uncachedTokens < minAskTokens) {
			return undefined;
		}

		let keeper: string | undefined;
		let bestRank = mix32(this.#ownHash, upstream.key);
		for (const [name, hash] of this.#loads.nameHashes(now)) {
			const rank = mix32(hash, upstream.key);
			if (rank > bestRank) {
				keeper = name;
				bestRank = rank;
			}
		}

		return keeper;
	}

	/** Decides about room for another gateway and notes what is granted. An engine that is not listed here yet has no book, and the asking gateway's own view stands. */
	decide(ask: RoomAsk, now: number): Exclude<RoomAnswer, {type: 'unanswered'}> {
		const upstream = this.#endpoints.byKey(ask.endpoint);
		if (upstream && !this.take(upstream, ask.unreadTokens, ask.tier, now)) {
			return {type: 'denied', backlog: backlogOf(upstream, now)};
		}

		this.#loads.reserve(ask, now);
		return {type: 'granted'};
	}

	/** Takes room for a prompt at an engine whose book is kept here, or returns false when it has none. */
	take(
		upstream: Upstream,
		uncachedTokens: number,
		tier: number,
		now: number,
	): boolean {
		if (timeToRoomMs(upstream, tier, uncachedTokens, now) > 0) {
			return false;
		}

		this.#plan(upstream, uncachedTokens, now);
		return true;
	}

	/** Backlogs of the engines whose books are kept here, for the other gateways; without those that have nothing to read. */
	kept(now: number): KeptBacklog[] {
		return this.#endpoints
			.all()
			.map((upstream) => ({upstream, backlog: backlogOf(upstream, now)}))
			.filter(
				({upstream, backlog}) =>
					backlog.pacedMs > 0 &&
					this.keeper(upstream, minAskTokens, now) === undefined,
			)
			.map(({upstream, backlog}) => ({endpoint: upstream.key, ...backlog}));
	}

	/**
	 * Decides by an answer whether a prompt goes to an engine, and notes what it
	 * says for the requests after it. Without an answer only an engine that
	 * seems idle gets the prompt: others may go there unseen as well.
	 */
	heed(
		upstream: Upstream,
		uncachedTokens: number,
		answer: RoomAnswer,
		now: number,
	): boolean {
		switch (answer.type) {
			case 'granted': {
				this.#plan(upstream, uncachedTokens, now);
				return true;
			}

			case 'denied': {
				upstream.plan.assume(answer.backlog, now);
				return false;
			}

			case 'unanswered': {
				if (upstream.unreadTokens(now) === 0) {
					return true;
				}

				upstream.close(now + unansweredWaitMs);
				return false;
			}
		}
	}

	#plan(upstream: Upstream, uncachedTokens: number, now: number): void {
		upstream.plan.add(
			uncachedTokens,
			upstream.demand.tokenMs(now),
			upstream.slowness(now),
			now,
		);
	}
}
