import type {ScalingLimits} from '../../interfaces/index.js';
import {NeedEstimate, type NeedCause, type ServerNeed} from './server-need.js';
import type {SubjectObservation} from './subject-observation.js';
import {WindowMaximum} from './window-maximum.js';

/** Ages in milliseconds above which the list of servers is not used and the load counts as incomplete. The list of servers is read about every 0.7 s, and a gateway reports its load several times a second. */
const maxServersAgeMs = 5000;
const maxLoadAgeMs = 2000;

/** Least and greatest time for which a lower number must have sufficed before it is ordered, in milliseconds. In between it is the boot time: to order a server again costs a boot that is billed and serves nobody, so keeping it for as long costs at most twice the least possible. */
const minHoldMs = 10_000;
const maxHoldMs = 600_000;

/** Most servers that one order asks for, as a multiple of those that serve and as a number beyond them: what serves now says little about a much larger number. */
const maxRaiseFactor = 2;
const maxRaiseStep = 2;

/** Why a number was ordered: one of the causes of a need, or `unused`: fewer suffice; `first`: what serves is confirmed; `limits`: the limits require it; `unseen`: figures are missing, so that what serves is kept. */
export type OrderCause = NeedCause | 'unused' | 'first' | 'limits' | 'unseen';

/** Decision on one subject. */
export type SubjectDecision = {
	readonly desired: number;
	readonly cause: OrderCause;
	/** Mean requests in progress; undefined when it cannot be seen. */
	readonly load: number | undefined;
};

/** Decides the number of servers of one subject. */
export class SubjectScaling {
	readonly #estimate = new NeedEstimate();
	readonly #needs = new WindowMaximum();
	#desired: number | undefined;

	/** The subject begins with the number that was last ordered, if any. */
	constructor(desired: number | undefined) {
		this.#desired = desired;
	}

	/** Number last decided or restored; undefined before the first one. */
	get desired(): number | undefined {
		return this.#desired;
	}

	/** Drops what was observed before a gap. */
	clear(): void {
		this.#estimate.clear();
		this.#needs.clear();
	}

	/** Adds an observation without a decision. */
	observe(observation: SubjectObservation, now: number): void {
		this.#update(observation, now);
	}

	/** Adds an observation and decides. */
	decide(observation: SubjectObservation, now: number): SubjectDecision {
		const {limits, servers} = observation;
		const serving = servers.ready + servers.warming;
		const need = this.#update(observation, now);
		const load = isLoadSeen(observation) ? need?.load : undefined;
		const isSeen = need !== undefined && load !== undefined;
		if (isSeen && this.#desired === undefined) {
			return this.#set(serving, limits, {cause: 'first', load});
		}

		const kept = isSeen
			? this.#desired!
			: Math.max(this.#desired ?? 0, serving);
		const raised = Math.min(
			need?.servers ?? 0,
			Math.max(serving * maxRaiseFactor, serving + maxRaiseStep),
		);
		if (need && raised > kept) {
			return this.#set(raised, limits, {cause: need.cause, load});
		}

		// Without servers there is no load by which to judge.
		const sufficient =
			isSeen && serving > 0 ? this.#needs.over(holdMs(limits), now) : undefined;
		return sufficient === undefined || sufficient >= kept
			? this.#set(kept, limits, {cause: 'unseen', load})
			: this.#set(sufficient, limits, {cause: 'unused', load});
	}

	/** Adds an observation; returns the need, which is undefined while the servers are unknown. An incomplete load is less than the real one, so it may show that more servers are needed but not that fewer are. */
	#update(
		observation: SubjectObservation,
		now: number,
	): ServerNeed | undefined {
		if (observation.servers.ageMs > maxServersAgeMs) {
			this.clear();
			return undefined;
		}

		const need = this.#estimate.update(observation, now);
		if (isLoadSeen(observation)) {
			this.#recordNeed(need, observation, now);
		} else {
			this.#needs.clear();
		}

		return need;
	}

	/** Repeats the last number within the present limits, for a subject without listed servers. */
	repeat(limits: ScalingLimits): SubjectDecision | undefined {
		return this.#desired === undefined
			? undefined
			: this.#set(this.#desired, limits, {cause: 'limits', load: undefined});
	}

	/** Under pressure the load that is seen is not the demand, so what is ordered still counts as needed. */
	#recordNeed(
		need: ServerNeed,
		{limits}: SubjectObservation,
		now: number,
	): void {
		const servers = need.isPressed
			? Math.max(need.servers, this.#desired ?? 0)
			: need.servers;
		this.#needs.add(servers, holdMs(limits), now);
	}

	#set(
		wanted: number,
		limits: ScalingLimits,
		{cause, load}: Omit<SubjectDecision, 'desired'>,
	): SubjectDecision {
		const desired = withinLimits(wanted, limits);
		this.#desired = desired;
		return {desired, cause: desired === wanted ? cause : 'limits', load};
	}
}

function isLoadSeen({load}: SubjectObservation): boolean {
	return load.ageMs <= maxLoadAgeMs;
}

function holdMs({bootMs}: ScalingLimits): number {
	return Math.min(maxHoldMs, Math.max(minHoldMs, bootMs));
}

function withinLimits(
	servers: number,
	{minServers, maxServers}: ScalingLimits,
): number {
	return Math.min(maxServers, Math.max(minServers, servers));
}
