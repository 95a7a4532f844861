import {hash32, mix32} from '../../base/index.js';
import type {EndpointSet} from './endpoint-set.js';
import type {PeerLoads, Reservation} from './peer-loads.js';
import {isBacklogged, timeToRoomMs} from './placement.js';
import type {Upstream} from './upstream.js';

/** Least prompt tokens for which room is asked; smaller prompts are read before an answer matters. */
const minAskTokens = 500;

/** Bounds of the time until a gateway asks again for room at an engine, in milliseconds: a path takes 1 ms, and the longest is a part of the shortest objectives in use. */
const minWaitMs = 40;
const maxWaitMs = 300;

/** A gateway's question whether an engine has room for a prompt. */
export type RoomAsk = Reservation & {
	/** 0 is the highest. */
	readonly tier: number;
};

export type RoomAnswer =
	| {readonly type: 'granted'}
	| {
			readonly type: 'denied';
			/** Prompt tokens that the engine has still to read. */
			readonly unreadTokens: number;
			/** Time until there may be room, in milliseconds. */
			readonly waitMs: number;
	  }
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

	/** Decides about room and notes what is granted. An engine that is not listed here yet has no book, and the asking gateway's own view stands. */
	decide(ask: RoomAsk, now: number): Exclude<RoomAnswer, {type: 'unanswered'}> {
		const upstream = this.#endpoints.byKey(ask.endpoint);
		if (upstream && isBacklogged(upstream, ask.tier, now)) {
			return {
				type: 'denied',
				unreadTokens: upstream.unreadTokens(now),
				waitMs: timeToRoomMs(upstream, ask.tier, now),
			};
		}

		this.#loads.reserve(ask, now);
		return {type: 'granted'};
	}

	/**
	 * Decides by an answer whether a prompt goes to an engine, and notes what it
	 * says for the requests after it. Without an answer only an engine that
	 * seems idle gets the prompt: others may go there unseen as well.
	 */
	heed(upstream: Upstream, answer: RoomAnswer, now: number): boolean {
		switch (answer.type) {
			case 'granted': {
				return true;
			}

			case 'denied': {
				const waitMs = Math.min(maxWaitMs, Math.max(minWaitMs, answer.waitMs));
				upstream.denied(answer.unreadTokens, now + waitMs);
				return false;
			}

			case 'unanswered': {
				if (upstream.unreadTokens(now) === 0) {
					return true;
				}

				upstream.close(now + minWaitMs);
				return false;
			}
		}
	}
}
