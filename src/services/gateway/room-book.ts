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

/** Time until a gateway asks again for room at an engine whose memory is short, in milliseconds: answers that end free it. */
const fullWaitMs = 150;

/** A gateway's question whether an engine has room for a prompt. */
export type RoomAsk = Reservation & {
	/** Rank in which the request gets room, 0 first. */
	readonly rank: number;
	/** Memory that the request needs, in tokens. */
	readonly memoryTokens: number;
};

/** What a request asks of an engine. */
export type RoomNeed = {
	/** Prompt tokens that the engine has to read. */
	readonly uncachedTokens: number;
	/** Memory that the request needs, in tokens. */
	readonly memoryTokens: number;
	/** Rank in which the request gets room, 0 first. */
	readonly rank: number;
};

export type RoomAnswer =
	| {readonly type: 'granted'}
	| {readonly type: 'denied'; readonly backlog: Backlog}
	/** The engine's memory is short. */
	| {readonly type: 'full'}
	/** The gateway that was asked says nothing. */
	| {readonly type: 'unanswered'};

const granted = {type: 'granted'} as const;

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
		const answer = upstream
			? this.take(upstream, {...ask, uncachedTokens: ask.unreadTokens}, now)
			: granted;
		if (answer.type === 'granted') {
			this.#loads.reserve(ask, now);
		}

		return answer;
	}

	/** Takes room at an engine whose book is kept here, or says why there is none. */
	take(
		upstream: Upstream,
		{uncachedTokens, memoryTokens, rank}: RoomNeed,
		now: number,
	): Exclude<RoomAnswer, {type: 'unanswered'}> {
		if (timeToRoomMs(upstream, rank, uncachedTokens, now) > 0) {
			return {type: 'denied', backlog: backlogOf(upstream, now)};
		}

		if (upstream.memory?.fits(memoryTokens, rank, now) === false) {
			return {type: 'full'};
		}

		upstream.memory?.grant(memoryTokens, now);
		this.#plan(upstream, uncachedTokens, now);
		return granted;
	}

	/** Whether this gateway keeps the book of an engine. */
	keeps(upstream: Upstream, now: number): boolean {
		return this.keeper(upstream, minAskTokens, now) === undefined;
	}

	/** Backlogs of the engines whose books are kept here, for the other gateways; without those that have nothing to read. */
	kept(now: number): KeptBacklog[] {
		return this.#endpoints
			.all()
			.map((upstream) => ({upstream, backlog: backlogOf(upstream, now)}))
			.filter(
				({upstream, backlog}) =>
					backlog.pacedMs > 0 && this.keeps(upstream, now),
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

			case 'full': {
				upstream.close(now + fullWaitMs);
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
			{
				tokenMs: upstream.demand.tokenMs(now),
				stepMs: upstream.step.ms,
				slowness: upstream.slowness(now),
			},
			now,
		);
	}
}
