import {SortedList, type Random} from '../../base/index.js';
import type {
	CacheEvent,
	LoadReport,
	OfferReply,
	Profile,
	Refusal,
} from '../../interfaces/index.js';
import {Backlog} from './backlog.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {EndpointSpeed} from './endpoint-speed.js';
import {GapTarget} from './gap-target.js';
import {Headroom} from './headroom.js';
import {LengthEstimate} from './length-estimate.js';
import {LoadView} from './load-view.js';
import {PrefillPace} from './prefill-pace.js';
import {PrefixCache} from './prefix-cache.js';
import {Reservations} from './reservations.js';
import {
	kvTokensOf,
	meanGapMs,
	RunningSet,
	type RunningTicket,
} from './running-set.js';
import {defaultPolicy, type SchedulerPolicy} from './scheduler-policy.js';
import {ShareAccount} from './share-account.js';
import type {Demand, QueuedTicket, Shed, Ticket} from './ticket.js';
import {expectedWaitMs, findLateTickets, type Places} from './wait-estimate.js';

const maxQueued = 1024;
/** Bounds of the cost of an uncached prompt token relative to an output token. */
const promptTokenCosts = {least: 0.005, most: 1} as const;
/** Fraction of the KV cache that admitted work may fill; the rest absorbs answers longer than expected. */
const maxKvFraction = 0.95;
/** Minimum time between two searches for displaced tickets, which walk the whole queue, in milliseconds. */
const displacementIntervalMs = 50;
/** A queued ticket is displaced when its expected wait exceeds this multiple of the time left; the estimate is too uncertain for a lower factor. */
const displacementTolerance = 1.25;
/** Fraction of the first-byte target that a plain service's concurrency limit aims at; the rest is left for queueing. */
const serviceTargetFraction = 0.5;
/** Number of running tickets from which their mean KV cache use is trusted. */
const minKvSampleTickets = 4;
const minRetryMs = 100;

/** Admission control and scheduling of one endpoint's work. */
export class Scheduler {
	readonly #random: Random;
	readonly #policy: SchedulerPolicy;
	readonly #account = new ShareAccount();
	readonly #backlog: Backlog;
	readonly #limit: ConcurrencyLimit;
	readonly #speed = new EndpointSpeed();
	readonly #gapTarget = new GapTarget();
	readonly #headroom = new Headroom();
	readonly #pace = new PrefillPace();
	readonly #lengths = new LengthEstimate();
	readonly #load = new LoadView();
	readonly #prefixCache = new PrefixCache();
	readonly #reservations = new Reservations();
	readonly #queued = new Map<string, QueuedTicket>();
	readonly #running = new RunningSet();
	/** Queued tickets by the time at which they are dropped from the queue. */
	readonly #expiry = new SortedList<QueuedTicket>();
	/** True when a ticket has arrived that may displace queued tickets. */
	#isDisplacementPending = false;
	#lastDisplacementAt = 0;
	/** Time until which pacing delays the next start; infinite when it does not. */
	#pacedUntil = Infinity;

	/** `random` spreads the retry times; `policy` switches single mechanisms off for experiments. */
	constructor(random: Random, policy: Partial<SchedulerPolicy> = {}) {
		this.#random = random;
		this.#policy = {...defaultPolicy, ...policy};
		this.#backlog = new Backlog(this.#policy, this.#account);
		this.#limit = new ConcurrencyLimit(this.#policy.slowStart);
	}

	/** Expected time to the first token if the work arrived now, or a refusal. An accepted offer counts as backlog for a short time. */
	offer(profile: Profile, now: number): OfferReply {
		const item = this.#toQueuedTicket(
			{
				attempt: '',
				profile,
				arrivedAt: now,
				deadline: Infinity,
				resumedTokens: 0,
			},
			now,
		);
		this.#recordOffer(item, now);
		const reservedMs = this.#policy.reservations
			? this.#reservations.occupancyMs(profile.contract.tier, now)
			: 0;
		const wait = this.#estimateWait(item, reservedMs, now);
		if (this.#isTooLate(item, wait, now) || this.#isFullFor(item)) {
			return {type: 'refuse', refusal: this.#overloadedRefusal(wait)};
		}

		this.#reservations.add(profile, item.demand.occupancyMs, now);
		return {
			type: 'accept',
			firstTokenMs: wait + item.demand.prefillMs,
			cachedTokens: profile.promptTokens - item.demand.uncachedTokens,
		};
	}

	/** Queues a ticket; returns the tickets that are shed because of it, possibly itself. */
	enqueue(ticket: Ticket, now: number): Shed[] {
		this.#reservations.consume(ticket.profile, now);
		const item = this.#toQueuedTicket(ticket, now);
		const wait = this.#estimateWait(item, 0, now);
		if (this.#isTooLate(item, wait, now) || this.#isFullFor(item)) {
			return [{ticket, refusal: this.#overloadedRefusal(wait)}];
		}

		const shed: Shed[] = [];
		if (this.#queued.size >= maxQueued) {
			const lowest = this.#backlog.firstToShed()!;
			this.#drop(lowest);
			shed.push({
				ticket: lowest.ticket,
				refusal: this.#overloadedRefusal(wait),
			});
		}

		const {contract} = ticket.profile;
		this.#gapTarget.recordRequest(contract.requestClass, contract.gapMs, now);
		this.#queued.set(ticket.attempt, item);
		this.#backlog.add(item);
		this.#expiry.add(this.#expiryTime(item), item);
		this.#isDisplacementPending ||=
			this.#policy.displacement && this.#queued.size > 1;
		return shed;
	}

	/** Removes and returns the next ticket to start, if a slot is free; it then counts as running. */
	takeNext(now: number): Ticket | undefined {
		this.#pacedUntil = Infinity;
		const {limit, running} = this.#places(now);
		if (running >= limit) {
			return undefined;
		}

		const isPacing = this.#policy.pacing && now < this.#pace.nextStartAt;
		this.#pacedUntil = isPacing ? this.#pace.nextStartAt : Infinity;
		const next = this.#backlog.next(
			limit,
			(item) => !isPacing || this.#isUrgent(item),
			now,
		);
		if (!next || !this.#fitsKvCache(next.item)) {
			return undefined;
		}

		const {item, isBelowShare} = next;
		if (!isBelowShare && running >= limit - this.#reservedPlaces(item, now)) {
			return undefined;
		}

		const {attempt, profile} = item.ticket;
		this.#queued.delete(attempt);
		this.#expiry.remove(this.#expiryTime(item), item);
		this.#backlog.dequeue(item);
		this.#running.start(item, now);
		this.#load.onOwnRunning(this.#running.size);
		this.#pace.onStart(
			item.demand.uncachedTokens * this.#speed.promptTokenMs,
			now,
		);
		this.#account.add(
			profile.contract.requestClass,
			item.demand.uncachedTokens * this.#promptTokenCost(),
			now,
		);
		return item.ticket;
	}

	/** Counts tokens that a running attempt has generated. */
	progress(attempt: string, tokens: number, now: number): void {
		const running = this.#running.get(attempt);
		if (!running) {
			return;
		}

		const {profile} = running.item.ticket;
		if (running.lastTokenAt === undefined) {
			this.#onFirstToken(running, now);
		} else if (tokens > 0 && profile.kind === 'model') {
			this.#onGap((now - running.lastTokenAt) / tokens, now);
		}

		this.#account.add(profile.contract.requestClass, tokens, now);
		this.#running.progress(running, tokens, now);
	}

	/** Removes a queued or running attempt. `isCompleted` is false when it ended early; it then adds no sample to the estimates. */
	finish(attempt: string, isCompleted: boolean, now: number): void {
		const item = this.#queued.get(attempt);
		if (item) {
			this.#drop(item);
			return;
		}

		const running = this.#running.remove(attempt);
		if (!running) {
			return;
		}

		this.#backlog.queueOf(running.item).running--;
		const occupancyMs = now - running.startedAt;
		const {ticket, demand} = running.item;
		const isModel = ticket.profile.kind === 'model';
		this.#backlog
			.queueOf(running.item)
			.adjustCharge(
				running.item,
				isModel ? running.tokens - demand.outputTokens : 0,
			);
		if (isCompleted) {
			this.#speed.observeOccupancy(occupancyMs);
			this.#onAnswer(running);
			this.#lengths.record(
				ticket.profile,
				isModel ? running.tokens + ticket.resumedTokens : occupancyMs,
			);
		}
	}

	/** Removes the queued tickets that can no longer be served in time. */
	expire(now: number): Shed[] {
		const shed: Shed[] = [];
		for (
			let item = this.#expiry.first;
			item && this.#expiryTime(item) <= now;
			item = this.#expiry.first
		) {
			this.#drop(item);
			const reason = item.ticket.deadline <= now ? 'deadline' : 'overloaded';
			shed.push({
				ticket: item.ticket,
				refusal: {
					...this.#overloadedRefusal(this.#estimateWait(item, 0, now)),
					reason,
				},
			});
		}

		if (this.#isDisplacementPending && now >= this.#nextDisplacementAt()) {
			shed.push(...this.#displace(now));
		}

		return shed;
	}

	onLoadReport(report: LoadReport, now: number): void {
		this.#load.onReport(report, this.#running.size);
	}

	onCacheEvents(events: readonly CacheEvent[], now: number): void {
		this.#prefixCache.onEvents(events, now);
	}

	/** Earliest time at which a ticket may expire, be displaced or start after pacing. */
	nextWake(): number | undefined {
		const times = [
			this.#expiry.firstKey ?? Infinity,
			this.#isDisplacementPending ? this.#nextDisplacementAt() : Infinity,
			this.#queued.size > 0 ? this.#pacedUntil : Infinity,
		];
		const next = Math.min(...times);
		return Number.isFinite(next) ? next : undefined;
	}

	/** Names of the classes with queued tickets. */
	queuedClasses(): string[] {
		return this.#backlog.waiting().map((queue) => queue.requestClass);
	}

	dump(): unknown {
		return {
			queued: this.#queued.size,
			running: this.#running.size,
			kvTokens: this.#running.kvTokens,
			classes: this.#backlog.dump(),
			limit: this.#limit.dump(),
			speed: this.#speed.dump(),
			lengths: this.#lengths.dump(),
			load: this.#load.dump(),
			prefixCache: this.#prefixCache.dump(),
			served: this.#account.dump(),
		};
	}

	#onFirstToken({item, startedAt}: RunningTicket, now: number): void {
		this.#speed.observeFirstToken(now - startedAt, item.demand.uncachedTokens);
		const {prefix, kind, contract} = item.ticket.profile;
		this.#prefixCache.onPrompt(prefix, now);
		if (kind === 'service') {
			const target = contract.firstTokenMs * serviceTargetFraction;
			this.#limit.observe(
				(now - startedAt) / target,
				this.#running.size,
				0,
				now,
			);
		}
	}

	#onGap(gapMs: number, now: number): void {
		this.#speed.observeGap(gapMs);
		const target = this.#gapTarget.tightestMs(now);
		this.#limit.observe(
			gapMs / target,
			this.#running.size,
			this.#reservedPlaces(undefined, now),
			now,
		);
	}

	/** Adjusts the limit by whole answers, but only of classes that cannot wait for a slot: these have the tight targets. */
	#onAnswer(running: RunningTicket): void {
		const gapMs = meanGapMs(running);
		if (gapMs !== undefined && this.#isUrgent(running.item)) {
			const {contract} = running.item.ticket.profile;
			this.#limit.onAnswer(gapMs > contract.gapMs);
		}
	}

	#recordOffer(item: QueuedTicket, now: number): void {
		const {requestClass} = item.ticket.profile.contract;
		if (this.#isUrgent(item)) {
			const tier = this.#backlog.tierOf(item);
			this.#headroom.recordOffer(requestClass, tier, now);
		}
	}

	/** Adds the expected demand of a ticket and the latest time at which it has to start. */
	#toQueuedTicket(ticket: Ticket, now: number): QueuedTicket {
		const {profile, arrivedAt, deadline} = ticket;
		const {contract} = profile;
		const demand = this.#estimateDemand(ticket);
		const latestStart =
			Math.min(
				deadline,
				arrivedAt + contract.firstTokenMs * contract.patience,
			) - this.#speed.conservativePrefillMs(demand.uncachedTokens);
		return {
			ticket,
			demand,
			latestStart,
			urgency: this.#policy.slack ? latestStart : now,
		};
	}

	#estimateDemand({profile, resumedTokens}: Ticket): Demand {
		if (profile.kind === 'service') {
			const occupancyMs = this.#lengths.predict(profile).mean;
			return {
				uncachedTokens: 0,
				outputTokens: 0,
				prefillMs: this.#speed.prefillMs(0),
				occupancyMs,
				cost: occupancyMs,
			};
		}

		const cached = this.#policy.prefixCache
			? this.#prefixCache.cachedTokens(profile.prefix)
			: 0;
		const uncachedTokens =
			Math.max(0, profile.promptTokens - cached) + resumedTokens;
		const outputTokens = this.#outputTokens(profile, resumedTokens);
		const prefillMs = this.#speed.prefillMs(uncachedTokens);
		return {
			uncachedTokens,
			outputTokens,
			prefillMs,
			occupancyMs: prefillMs + outputTokens * this.#speed.gapMs,
			cost: uncachedTokens * this.#promptTokenCost() + outputTokens,
		};
	}

	/** Engine time of an uncached prompt token relative to an output token, whose time is the step time divided by the batch size. */
	#promptTokenCost(): number {
		const {promptTokenMs, gapMs} = this.#speed;
		const cost = (promptTokenMs * Math.max(1, this.#running.size)) / gapMs;
		const {least, most} = promptTokenCosts;
		return Math.min(most, Math.max(least, cost));
	}

	#outputTokens(profile: Profile, resumedTokens: number): number {
		const expected = this.#policy.lengths
			? this.#lengths.predict(profile).mean
			: 256;
		const whole = Math.min(expected, profile.maxTokens ?? Infinity);
		return Math.max(1, whole - resumedTokens);
	}

	#places(now: number): Places {
		const limit = this.#policy.adaptiveLimit
			? this.#limit.at(now)
			: this.#policy.fixedLimit;
		return {
			limit: Math.max(1, Math.min(limit, this.#placesByKvCache())),
			running: this.#running.size + this.#load.otherRunning,
			occupancyMs: this.#speed.occupancyMs,
		};
	}

	/** Slots for which the KV cache suffices if each ticket needs as much as the running ones do on average. */
	#placesByKvCache(): number {
		const {size, kvTokens} = this.#running;
		if (!this.#policy.memoryBound || size < minKvSampleTickets) {
			return Infinity;
		}

		const capacity =
			this.#load.kvCapacity * maxKvFraction - this.#load.otherKvTokens;
		return Math.floor((capacity * size) / kvTokens);
	}

	#estimateWait(item: QueuedTicket, reservedMs: number, now: number): number {
		const places = this.#places(now);
		const limit = places.limit - this.#reservedPlaces(item, now);
		return expectedWaitMs(
			item,
			this.#backlog,
			{...places, limit: Math.max(1, limit)},
			reservedMs,
			now,
		);
	}

	/** Slots that a ticket leaves free for higher tiers; without a ticket, those that the lowest tier leaves free. */
	#reservedPlaces(item: QueuedTicket | undefined, now: number): number {
		if (!this.#policy.headroom) {
			return 0;
		}

		const {limit, occupancyMs} = this.#places(now);
		const tier = item ? this.#backlog.tierOf(item) : Infinity;
		return this.#headroom.places(tier, limit, occupancyMs / limit, now);
	}

	#isTooLate(item: QueuedTicket, wait: number, now: number): boolean {
		return this.#policy.admission && now + wait > item.latestStart;
	}

	/** Whether the first-token target is shorter than the mean time for which a request occupies a slot. */
	#isUrgent(item: QueuedTicket): boolean {
		const {firstTokenMs} = item.ticket.profile.contract;
		return firstTokenMs < this.#speed.occupancyMs;
	}

	/** Whether the queue is full and holds no ticket of a lower tier that could be shed instead. */
	#isFullFor(item: QueuedTicket): boolean {
		if (this.#queued.size < maxQueued) {
			return false;
		}

		const lowest = this.#backlog.firstToShed()!;
		return this.#backlog.tierOf(lowest) <= this.#backlog.tierOf(item);
	}

	#fitsKvCache(item: QueuedTicket): boolean {
		if (!this.#policy.memoryBound || this.#running.size === 0) {
			return true;
		}

		const used = this.#running.kvTokens + this.#load.otherKvTokens;
		return used + kvTokensOf(item) <= this.#load.kvCapacity * maxKvFraction;
	}

	#expiryTime(item: QueuedTicket): number {
		return this.#policy.giveUp
			? Math.min(item.latestStart, item.ticket.deadline)
			: item.ticket.deadline;
	}

	#nextDisplacementAt(): number {
		return this.#lastDisplacementAt + displacementIntervalMs;
	}

	#displace(now: number): Shed[] {
		this.#isDisplacementPending = false;
		this.#lastDisplacementAt = now;
		const late = findLateTickets(
			this.#backlog,
			this.#places(now),
			now,
			displacementTolerance,
		);
		return late.map((item) => {
			this.#drop(item);
			const refusal = this.#overloadedRefusal(this.#estimateWait(item, 0, now));
			return {ticket: item.ticket, refusal};
		});
	}

	#drop(item: QueuedTicket): void {
		this.#queued.delete(item.ticket.attempt);
		this.#expiry.remove(this.#expiryTime(item), item);
		this.#backlog.remove(item);
	}

	/** Refusal with a retry time: the expected wait, plus up to half of it at random so that retries spread. */
	#overloadedRefusal(wait: number): Refusal {
		const drain = Math.max(minRetryMs, wait);
		return {
			reason: 'overloaded',
			retryAfterMs: Math.round(drain * (1 + this.#random.next() / 2)),
		};
	}
}
