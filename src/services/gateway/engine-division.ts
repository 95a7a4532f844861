import type {Route} from '../../interfaces/index.js';
import type {Upstream} from './upstream.js';

/** Prompt tokens that an engine prefills between two steps. */
const chunkTokens = 2048;

/** Prompt tokens that an engine prefills in a millisecond. */
const prefillTokensPerMs = 48;

/** Time of one step in milliseconds while an engine also prefills. */
const stepMs = 5 + chunkTokens / prefillTokensPerMs;

/** Fraction of its time for which a reserved engine prefills at most: the rest absorbs prompts that arrive together. */
const maxPrefillFraction = 0.5;

/** Time in milliseconds for which an answer occupies its slot for each of its tokens, on a reserved engine. */
const tokenMs = 12;

/** Fraction of the slots of a reserved engine that are planned for. */
const plannedSlotsFraction = 0.5;

/** Maximum fraction of a service's engines that are reserved. */
const maxReservedFraction = 0.6;

/** Time in which the weight of a request in the measured rates falls to about a third, in milliseconds: short enough to follow a burst of some seconds. */
const rateDecayMs = 1500;

/** Age in milliseconds above which the need of another gateway is ignored. */
const maxNeedAgeMs = 2000;

/** Fraction of the streams that miss their gap target above which engines are reserved: where fewer do, long prompts would pay for little. */
const minMissedFraction = 0.1;

/** Streams a second below which that fraction means nothing. */
const minStreams = 1;

/** Time for which engines stay reserved after too many streams missed their target, in milliseconds: with reserved engines few of them do. */
const holdMs = 30_000;

/** Maximum age of the cached set of reserved engines, in milliseconds. */
const maxCacheAgeMs = 100;

/** Need in engines below which none is reserved: most of it would be idle. */
const minNeed = 0.2;

/** Reserved engines beyond the need before one is given back: the set must not change with each request. */
const slackEngines = 1;

/** Work that requests with a tight gap target bring to a service, in tokens a second. */
export type DivisionNeed = {
	readonly promptTokens: number;
	readonly outputTokens: number;
	/** Streams a second that begin, and that miss their gap target. */
	readonly streams: number;
	readonly missedTargets: number;
};

/** Size of a request. */
type RequestSize = Pick<DivisionNeed, 'promptTokens' | 'outputTokens'>;

/** Factor by which a step may take longer than usual: engines differ in speed and share their machines. */
const slowStepFactor = 1.5;

/** Multiple of the tightest gap target of a service up to which others count as tight as well. */
const similarTargetFactor = 1.2;

/** Properties of a route that decide whether its streams need engines without long prompts. */
type StreamRoute = Pick<Route, 'gapTargetMs' | 'tier'>;

/**
 * Whether the gap target of a route is tight: an engine that prefills without a
 * break misses it, as an event of `eventTokens` tokens then takes as many long
 * steps. Only the tightest targets of a service count, because streams with
 * looser ones bring longer prompts; and only those of its most urgent routes,
 * because less urgent ones must not take engines from others.
 */
export function hasTightGap(
	route: StreamRoute,
	others: readonly StreamRoute[],
	eventTokens: number,
): boolean {
	const {gapTargetMs, tier} = route;
	if (
		gapTargetMs === undefined ||
		gapTargetMs >= eventTokens * stepMs * slowStepFactor
	) {
		return false;
	}

	const tightestMs = Math.min(
		...others.map((other) => other.gapTargetMs ?? Number.POSITIVE_INFINITY),
	);
	return (
		gapTargetMs <= tightestMs * similarTargetFactor &&
		others.every((other) => tier <= other.tier)
	);
}

/** Rate of an amount that arrives in single requests, in units a second. */
class DecayedRate {
	#sum = 0;
	#updatedAt = 0;

	add(amount: number, now: number): void {
		this.#sum = this.#decayed(now) + amount;
		this.#updatedAt = now;
	}

	perSecond(now: number): number {
		return (this.#decayed(now) * 1000) / rateDecayMs;
	}

	#decayed(now: number): number {
		return this.#sum * Math.exp((this.#updatedAt - now) / rateDecayMs);
	}
}

/**
 * Reserves part of a service's engines for streams with a tight gap target.
 * Needed when long prompts and quick streams share engines: each long prompt
 * that is prefilled there stalls all running streams for longer than their gap
 * target allows. The engines are taken in the order of their hashes and their
 * number follows from the work of all gateways, so all gateways reserve nearly
 * the same ones without a leader.
 */
export class EngineDivision {
	readonly #prompt = new DecayedRate();
	readonly #output = new DecayedRate();
	readonly #streams = new DecayedRate();
	readonly #missedTargets = new DecayedRate();
	/** Other requests, without which no engine is reserved. */
	readonly #other = new DecayedRate();
	readonly #peerNeeds = new Map<string, {need: DivisionNeed; at: number}>();
	#holdsUntil = Number.NEGATIVE_INFINITY;
	#reservedCount = 0;
	#reserved: ReadonlySet<Upstream> = new Set();
	#reservedAt = Number.NEGATIVE_INFINITY;

	/** Records a request of this gateway. */
	recordRequest(
		isSensitive: boolean,
		{promptTokens, outputTokens}: RequestSize,
		now: number,
	): void {
		if (isSensitive) {
			this.#streams.add(1, now);
			this.#prompt.add(promptTokens, now);
			this.#output.add(outputTokens, now);
		} else {
			this.#other.add(promptTokens, now);
		}
	}

	/** Records that a stream of this gateway has missed its tight gap target. */
	recordMissedTarget(now: number): void {
		this.#missedTargets.add(1, now);
	}

	/** Work of this gateway's requests, for the other gateways. */
	ownNeed(now: number): DivisionNeed {
		return {
			promptTokens: this.#prompt.perSecond(now),
			outputTokens: this.#output.perSecond(now),
			streams: this.#streams.perSecond(now),
			missedTargets: this.#missedTargets.perSecond(now),
		};
	}

	/** Applies the need that another gateway states. */
	applyNeed(gateway: string, need: DivisionNeed, now: number): void {
		this.#peerNeeds.set(gateway, {need, at: now});
	}

	/** Engines reserved for streams with a tight gap target. */
	reserved(engines: readonly Upstream[], now: number): ReadonlySet<Upstream> {
		if (now - this.#reservedAt > maxCacheAgeMs) {
			this.#reservedAt = now;
			this.#reservedCount = this.#count(engines, now);
			this.#reserved = new Set(
				engines.toSorted((a, b) => a.key - b.key).slice(0, this.#reservedCount),
			);
		}

		return this.#reserved;
	}

	/** Number of engines that are reserved at present. */
	get reservedCount(): number {
		return this.#reserved.size;
	}

	/** Whether an engine is reserved at present. */
	isReserved(upstream: Upstream): boolean {
		return this.#reserved.has(upstream);
	}

	/** Division that applies to a request; undefined while no engine is reserved. */
	of(
		isSensitive: boolean,
		engines: readonly Upstream[],
		now: number,
	): RequestDivision | undefined {
		const reserved = this.reserved(engines, now);
		return reserved.size === 0 ? undefined : {reserved, isSensitive};
	}

	#count(engines: readonly Upstream[], now: number): number {
		const needed = this.#neededEngines(engines, now);
		const max = Math.floor(engines.length * maxReservedFraction);
		const count = Math.ceil(needed - minNeed);
		const isGivenBack =
			count === 0 || count + slackEngines < this.#reservedCount;
		return Math.min(
			max,
			count > this.#reservedCount || isGivenBack ? count : this.#reservedCount,
		);
	}

	#neededEngines(engines: readonly Upstream[], now: number): number {
		if (engines.length === 0 || this.#other.perSecond(now) < 1) {
			return 0;
		}

		const {promptTokens, outputTokens, streams, missedTargets} =
			this.#totalNeed(now);
		if (streams >= minStreams && missedTargets > streams * minMissedFraction) {
			this.#holdsUntil = now + holdMs;
		}

		if (now > this.#holdsUntil) {
			return 0;
		}

		const slots =
			engines.reduce((sum, {listed}) => sum + listed.slots, 0) / engines.length;
		const prefillEngines =
			promptTokens / (prefillTokensPerMs * 1000 * maxPrefillFraction);
		const decodingEngines =
			(outputTokens * tokenMs) / 1000 / (slots * plannedSlotsFraction);
		return Math.max(prefillEngines, decodingEngines);
	}

	/** Work of all gateways from which there has been word lately. */
	#totalNeed(now: number): DivisionNeed {
		const total = {...this.ownNeed(now)};
		for (const [gateway, {need, at}] of this.#peerNeeds) {
			if (now - at > maxNeedAgeMs) {
				this.#peerNeeds.delete(gateway);
			} else {
				total.promptTokens += need.promptTokens;
				total.outputTokens += need.outputTokens;
				total.streams += need.streams;
				total.missedTargets += need.missedTargets;
			}
		}

		return total;
	}
}

/** Engines reserved for streams with a tight gap target, and whether a request is one of these. */
export type RequestDivision = {
	readonly reserved: ReadonlySet<Upstream>;
	readonly isSensitive: boolean;
};

/** Cost in milliseconds of a stream with a tight gap target at an engine that is not reserved. */
const sharedEngineCostMs = 150;

/** Prompt tokens up to which a prompt of another kind delays the events of a reserved engine by less than their target. */
const maxLentTokens = 1024;

/** Cost in milliseconds of a short prompt of another kind at a reserved engine, and of a long one. */
const shortPromptCostMs = 200;
const longPromptCostMs = 1500;

/** Cost of using an engine on the other side of the division, in milliseconds: idle engines are lent, but only once the others are busy. */
export function divisionPenaltyMs(
	division: RequestDivision | undefined,
	upstream: Upstream,
	uncachedTokens: number,
): number {
	if (!division || division.reserved.has(upstream) === division.isSensitive) {
		return 0;
	}

	if (division.isSensitive) {
		return sharedEngineCostMs;
	}

	return uncachedTokens <= maxLentTokens ? shortPromptCostMs : longPromptCostMs;
}

/** Engines on a request's side of the division, in all data centres, as long as one of them has a free slot; otherwise all engines. */
export function ownSide(
	division: RequestDivision | undefined,
	engines: readonly Upstream[],
	freeSlots: (upstream: Upstream) => number,
): readonly Upstream[] {
	const side = division
		? engines.filter(
				(engine) => division.reserved.has(engine) === division.isSensitive,
			)
		: [];
	return side.some((engine) => freeSlots(engine) >= 1) ? side : engines;
}
