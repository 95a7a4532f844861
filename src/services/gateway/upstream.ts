import {hash32} from '../../base/index.js';
import type {
	ListedEndpoint,
	MemoryTransfer,
	Service,
	StatedLoad,
} from '../../interfaces/index.js';
import {EngineMemory} from './engine-memory.js';
import {Health} from './health.js';
import {firstServerError, type SendEnd} from './next-step.js';
import type {PeerLoads} from './peer-loads.js';
import {PrefixMemory, type PrefixLink} from './prefix-memory.js';
import {ReadingPlan} from './reading-plan.js';
import {ServiceDemand} from './service-demand.js';
import {StepTime} from './step-time.js';

/** Time in which stated load of other gateways counts for a third of what it did, in milliseconds: about the duration of an answer. */
const statedLoadFadeMs = 1500;

/** Time for which an engine with answers in progress says nothing until it gets no new requests, in milliseconds: several times the time between two events of a loaded engine. */
const suspectMs = 250;

/** Weight of one sample in the moving ratios. */
const sampleWeight = 0.2;

/** Bounds of the ratio of observed to expected time. */
const minSlowness = 0.5;
const maxSlowness = 10;

/** Time in which the slowness falls back towards 1 while there are no samples, in milliseconds. */
const slownessFadeMs = 5000;

/** Work that this gateway has in progress at an endpoint. */
export type Work = {
	/** Prompt tokens that the engine has to read. */
	readonly uncachedTokens: number;
	hasAnswered: boolean;
};

/** One incarnation of an endpoint, as this gateway sees it. */
export class Upstream {
	readonly health = new Health();
	readonly prefixes: PrefixMemory;
	/** Prompts that it was given by the gateway that keeps its book. */
	readonly plan = new ReadingPlan();
	/** Time of a step of its answers. */
	readonly step = new StepTime();
	/** Tokens in one event of its streams. */
	readonly eventTokens: number;
	/** How it gets what other engines hold; undefined when it does not. */
	readonly transfer: MemoryTransfer | undefined;
	/** Undefined for plain services. */
	readonly memory: EngineMemory | undefined;
	/** Short name that gateways use among each other. Two endpoints with one key would only be thought busier than they are. */
	readonly key: number;
	readonly #works = new Set<Work>();
	readonly #peers: PeerLoads;
	#stated: {load: StatedLoad; ownRunning: number; at: number} | undefined;
	#slowness = 1;
	#slownessAt = 0;
	#lastHeardAt = 0;
	#askedTokens = 0;
	#ownUnreadTokens = 0;
	/** Works whose answers are in progress. */
	#answering = 0;
	#closedUntil = Number.NEGATIVE_INFINITY;
	#restsUntil = Number.NEGATIVE_INFINITY;
	#isLeaving = false;

	constructor(
		/** Its latest entry in the list. */
		public listed: ListedEndpoint,
		readonly firstSeenAt: number,
		service: Service | undefined,
		peers: PeerLoads,
		/** What the requests to its service need. */
		readonly demand = new ServiceDemand(),
	) {
		this.#peers = peers;
		this.key = hash32(listed.id);
		this.memory = service?.engine && new EngineMemory();
		this.transfer = service?.engine?.transfer;
		this.eventTokens = service?.engine?.eventTokens ?? 1;
		this.prefixes = new PrefixMemory(service?.engine?.kvTokens ?? 0);
	}

	get id(): string {
		return this.listed.id;
	}

	/** It wants no new requests, for good: its entry or one of its answers said so. A later entry that says otherwise is older, or comes from an older copy of the store. */
	get isLeaving(): boolean {
		return this.#isLeaving || this.listed.isDraining;
	}

	leave(): void {
		this.#isLeaving = true;
	}

	/** Moment until which it wants nothing from this gateway. */
	get restsUntil(): number {
		return this.#restsUntil;
	}

	/** It has asked for rest until a moment; the latest such moment stands. */
	rest(until: number): void {
		this.#restsUntil = Math.max(this.#restsUntil, until);
	}

	/** Time until a request may be sent there, as far as its health and its own word go, in milliseconds. */
	unavailableMs(now: number): number {
		return Math.max(this.health.blockedMs(now), this.#restsUntil - now, 0);
	}

	/** It has fallen silent in the middle of answers: it may be dark or cut off. Silence of all endpoints at once is this gateway's own. */
	isSuspect(now: number): boolean {
		return this.#answering > 0 && now - this.#lastHeardAt > suspectMs;
	}

	/** Requests of this gateway in progress. */
	get ownRunning(): number {
		return this.#works.size;
	}

	/** Moment of the last byte from the endpoint. */
	get lastHeardAt(): number {
		return this.#lastHeardAt;
	}

	heard(now: number): void {
		this.#lastHeardAt = now;
	}

	begin(
		links: readonly PrefixLink[],
		uncachedTokens: number,
		now: number,
	): Work {
		const work = {uncachedTokens, hasAnswered: false};
		this.#works.add(work);
		this.#ownUnreadTokens += uncachedTokens;
		this.prefixes.begin(links, now);
		return work;
	}

	/** Notes that an engine has read the prompt of a work and answers. */
	answered(work: Work, links: readonly PrefixLink[]): void {
		if (!work.hasAnswered && this.#works.has(work)) {
			this.#answering++;
		}

		this.#noteRead(work);
		this.prefixes.read(links);
	}

	end(work: Work): void {
		if (this.#works.delete(work)) {
			this.#answering -= Number(work.hasAnswered);
			this.#noteRead(work);
		}
	}

	#noteRead(work: Work): void {
		if (!work.hasAnswered) {
			work.hasAnswered = true;
			this.#ownUnreadTokens -= work.uncachedTokens;
		}
	}

	/** Updates what is believed of the endpoint's health by the end of a send. */
	ended(end: SendEnd, startedAt: number, now: number): void {
		switch (end.type) {
			case 'unsent': {
				this.health.block(now);
				break;
			}

			case 'answered': {
				if (end.status < firstServerError) {
					this.health.succeeded(now);
				} else {
					this.health.failed(now);
				}

				break;
			}

			case 'delivered': {
				this.health.succeeded(now);
				break;
			}

			case 'rejected':
			case 'broken': {
				this.health.failed(now);
				break;
			}

			case 'silent': {
				if (this.#lastHeardAt < startedAt) {
					this.health.block(now);
				} else {
					this.health.failed(now);
				}

				break;
			}

			case 'expired':
			case 'abandoned': {
				break;
			}
		}
	}

	/** Notes the load that the endpoint states in an answer. */
	stated(load: StatedLoad, now: number): void {
		this.#stated = {load, ownRunning: this.ownRunning, at: now};
	}

	/** Notes a time to the first byte against what was expected, in milliseconds. */
	timed(observedMs: number, expectedMs: number, now: number): void {
		const sample = Math.min(
			maxSlowness,
			Math.max(minSlowness, observedMs / Math.max(1, expectedMs)),
		);
		const slowness = this.slowness(now);
		this.#slowness = slowness + sampleWeight * (sample - slowness);
		this.#slownessAt = now;
	}

	/** Ratio of observed to expected times. */
	slowness(now: number): number {
		const fade = Math.exp((this.#slownessAt - now) / slownessFadeMs);
		return 1 + (this.#slowness - 1) * fade;
	}

	/** Requests in progress, those of other gateways as they or the endpoint stated them. */
	running(now: number): number {
		return this.ownRunning + this.#othersRunning(now);
	}

	/** Counts a prompt for which this gateway asks for room, until `settleAsk`. */
	beginAsk(uncachedTokens: number): void {
		this.#askedTokens += uncachedTokens;
	}

	settleAsk(uncachedTokens: number): void {
		this.#askedTokens -= uncachedTokens;
	}

	/** Sends no prompt there until a moment, because nobody says whether there is room. */
	close(until: number): void {
		this.#closedUntil = until;
	}

	/** Time until the end of such a closure, in milliseconds. */
	closedMs(now: number): number {
		return Math.max(0, this.#closedUntil - now);
	}

	/** Prompt tokens that the engine has still to read. */
	unreadTokens(now: number): number {
		return (
			this.ownUnreadTokens() +
			this.#askedTokens +
			this.#peers.at(this.key, now).unreadTokens
		);
	}

	/** Prompt tokens of this gateway's requests that the engine has still to read. */
	ownUnreadTokens(): number {
		return this.#ownUnreadTokens;
	}

	/** Peers report often but see only gateways; what the endpoint states is older and covers everything. */
	#othersRunning(now: number): number {
		if (this.#peers.count(now) > 0 || !this.#stated) {
			return this.#peers.at(this.key, now).running;
		}

		const {load, ownRunning, at} = this.#stated;
		const others = Math.max(0, load.running + load.waiting - ownRunning);
		return others * Math.exp((at - now) / statedLoadFadeMs);
	}
}
