import {hash32} from '../../base/index.js';
import type {PromptPart} from '../../interfaces/index.js';
import type {
	CrashNotices,
	CrashVerdict,
	WithheldPart,
} from './crash-notices.js';
import {
	expireObservations,
	observe,
	ownNotices,
	type Observation,
} from './part-observations.js';

/** Crashes under unanswered requests with a part after which the part is withheld. One crash may have any cause. */
const minCrashes = 2;

/** Minimum time between two crashes that count separately, in milliseconds: engines that fail together have a common cause other than a request. */
const separateCrashMs = 250;

/** Time for which a part is withheld after the crash that brought it to the limit, in milliseconds; longer by a factor after each further crash. */
const firstWithheldMs = 4000;
const withheldFactor = 15;
const maxWithheldMs = 600_000;

/** Time after which a probe that has neither crashed its engine nor been answered no longer keeps others back, in milliseconds. */
const probeTimeoutMs = 3000;

/** Age at which a crash is forgotten, in milliseconds: beyond the longest time for which a part is withheld. */
const maxCrashAgeMs = 3 * maxWithheldMs;

/** Age up to which an own observation is sent with each notice, in milliseconds, so that a lost datagram does not matter. */
const recentMs = 1000;

/** Minimum time between two searches for observations that have expired, in milliseconds. */
const expiryIntervalMs = 1000;

/** Limits of the state, against callers that name endless parts. */
const maxCrashes = 200;
const maxPartsPerCrash = 128;

/** Crashes in one notice at most, the latest ones, so that it fits a datagram. */
const maxCrashesPerNotice = 24;

type Crash = {
	readonly endpoint: number;
	readonly startedAt: number;
	/** Earliest known time, in milliseconds of the monotonic clock. */
	at: number;
	/** Parts that have not survived since. */
	readonly parts: Set<number>;
	/** Those of requests of this gateway. */
	readonly ownParts: Set<number>;
};

/**
 * Finds the prompt parts that crash engines, from the parts of the requests that
 * engines had not begun to answer when they crashed. A part is suspected while
 * no answer on it has begun since; it is withheld from all engines after two
 * crashes, unless other parts that a request lacks explain them all: then the
 * request may show that its own parts are harmless, one request at a time.
 *
 * All gateways merge the same observations: crashes by union and earliest time,
 * survivals and probes by latest time, so that lost, repeated, late or reordered
 * notices lead to the same state. Needed when a request crashes each engine that
 * runs it, wherever its repeats arrive.
 */
export class CrashSuspects {
	/** By endpoint and start time, in order of arrival. */
	readonly #crashes = new Map<string, Crash>();
	readonly #byPart = new Map<number, Set<Crash>>();
	readonly #survivals = new Map<number, Observation>();
	readonly #probes = new Map<number, Observation>();
	#expiredAt = Number.NEGATIVE_INFINITY;

	/** Records a crash that this gateway observed at `at`. Returns whether it adds anything. */
	recordCrash(
		endpoint: number,
		startedAt: number,
		parts: readonly number[],
		at: number,
	): boolean {
		const isChanged = this.#addCrash(endpoint, startedAt, parts, at);
		const crash = this.#crashOf(endpoint, startedAt, at);
		for (const part of parts.filter((item) => crash.parts.has(item))) {
			crash.ownParts.add(part);
		}

		return isChanged;
	}

	#addCrash(
		endpoint: number,
		startedAt: number,
		parts: readonly number[],
		at: number,
	): boolean {
		const crash = this.#crashOf(endpoint, startedAt, at);
		crash.at = Math.min(crash.at, at);
		for (const part of crash.parts) {
			if (this.#hasSurvived(part, crash)) {
				this.#dropPart(crash, part);
			}
		}

		let isChanged = false;
		for (const part of parts) {
			if (
				!crash.parts.has(part) &&
				crash.parts.size < maxPartsPerCrash &&
				!this.#hasSurvived(part, crash)
			) {
				crash.parts.add(part);
				this.#crashesOf(part).add(crash);
				isChanged = true;
			}
		}

		return isChanged;
	}

	/** Whether any crash is held against one of the parts, so that their survival is of interest. */
	isSuspected(parts: readonly number[]): boolean {
		return parts.some((part) => this.#byPart.has(part));
	}

	/** Records that an engine has begun an answer on the parts without a crash. Returns whether one of them was suspected. */
	recordSurvival(parts: readonly number[], now: number): boolean {
		const suspected = parts.filter((part) => this.#byPart.has(part));
		for (const part of suspected) {
			this.#applySurvival(part, now, now);
		}

		return suspected.length > 0;
	}

	/** Records that a request of this gateway probes the parts. */
	beginProbe(parts: readonly number[], now: number): void {
		for (const part of parts) {
			if (this.#byPart.has(part)) {
				observe(this.#probes, part, now, now);
			}
		}
	}

	/** Decides whether a request with the given parts may be sent. */
	check(parts: readonly number[], now: number): CrashVerdict {
		if (this.#byPart.size === 0) {
			return {type: 'clear'};
		}

		this.#expire(now);
		const suspected = parts.filter((part) => this.#count(part) >= minCrashes);
		if (suspected.length === 0) {
			return {type: 'clear'};
		}

		for (const part of suspected) {
			if (this.#isProbed(part, now)) {
				continue;
			}

			const retryAfterMs = this.#withheldMs(part, now);
			if (retryAfterMs > 0 && !this.#isExplainedWithout(part, parts)) {
				const crashes = this.#count(part);
				return {type: 'withheld', part, crashes, retryAfterMs};
			}
		}

		return suspected.some((part) => this.#isProbed(part, now))
			? {type: 'wait'}
			: {type: 'probe'};
	}

	/** Parts that no request may be sent with, for operators. */
	withheld(now: number): WithheldPart[] {
		return [...this.#byPart.keys()]
			.filter((part) => this.#count(part) >= minCrashes)
			.map((part) => ({
				part,
				crashes: this.#count(part),
				retryAfterMs: this.#withheldMs(part, now),
			}));
	}

	/** What to tell the other gateways; undefined when there is nothing. `isFull` means all crashes that still withhold a part, for gateways that have started since, instead of the recent ones that this gateway observed. */
	notices(now: number, isFull: boolean): CrashNotices | undefined {
		this.#expire(now);
		const crashes = [...this.#crashes.values()]
			.filter(({at, parts, ownParts}) =>
				isFull
					? this.#withholds(parts)
					: ownParts.size > 0 && now - at < recentMs,
			)
			.slice(-maxCrashesPerNotice)
			.map(({endpoint, startedAt, at, parts, ownParts}) => ({
				endpoint,
				startedAt,
				ageMs: now - at,
				parts: [...(isFull ? parts : ownParts)],
			}));
		const survivals = ownNotices(this.#survivals, now, recentMs);
		const probes = ownNotices(this.#probes, now, probeTimeoutMs);
		return crashes.length + survivals.length + probes.length > 0
			? {crashes, survivals, probes}
			: undefined;
	}

	/** Applies the notices of another gateway. Returns whether they add a crash or a survival. */
	apply({crashes, survivals, probes}: CrashNotices, now: number): boolean {
		let isChanged = false;
		for (const {part, ageMs} of survivals) {
			const isNew = this.#applySurvival(
				part,
				now - ageMs,
				Number.NEGATIVE_INFINITY,
			);
			isChanged ||= isNew;
		}

		for (const {endpoint, startedAt, ageMs, parts} of crashes) {
			if (ageMs < maxCrashAgeMs) {
				const isNew = this.#addCrash(endpoint, startedAt, parts, now - ageMs);
				isChanged ||= isNew;
			}
		}

		for (const {part, ageMs} of probes) {
			observe(this.#probes, part, now - ageMs, Number.NEGATIVE_INFINITY);
		}

		return isChanged;
	}

	/** Drops the crashes before a survival from the record of a part. Returns whether there were any. */
	#applySurvival(part: number, at: number, ownAt: number): boolean {
		observe(this.#survivals, part, at, ownAt);
		let isChanged = false;
		for (const crash of this.#byPart.get(part) ?? []) {
			if (crash.at <= at) {
				this.#dropPart(crash, part);
				isChanged = true;
			}
		}

		return isChanged;
	}

	/** Number of separate crashes held against a part. */
	#count(part: number): number {
		const times = [...(this.#byPart.get(part) ?? [])]
			.map(({at}) => at)
			.toSorted((a, b) => a - b);
		let count = 0;
		let last = Number.NEGATIVE_INFINITY;
		for (const at of times) {
			if (at - last >= separateCrashMs) {
				count++;
				last = at;
			}
		}

		return count;
	}

	#withholds(parts: ReadonlySet<number>): boolean {
		return [...parts].some((part) => this.#count(part) >= minCrashes);
	}

	#lastCrashAt(part: number): number {
		return Math.max(...[...(this.#byPart.get(part) ?? [])].map(({at}) => at));
	}

	#withheldMs(part: number, now: number): number {
		const factor = withheldFactor ** (this.#count(part) - minCrashes);
		const lengthMs = Math.min(maxWithheldMs, firstWithheldMs * factor);
		return Math.max(0, this.#lastCrashAt(part) + lengthMs - now);
	}

	/** Whether a request with the part is under way whose outcome is not known. */
	#isProbed(part: number, now: number): boolean {
		const at = this.#probes.get(part)?.at ?? Number.NEGATIVE_INFINITY;
		return at > this.#lastCrashAt(part) && now - at < probeTimeoutMs;
	}

	/** Whether a part that the request lacks was there at all crashes held against one of its own. */
	#isExplainedWithout(part: number, parts: readonly number[]): boolean {
		const [first, ...others] = this.#byPart.get(part) ?? [];
		return [...(first?.parts ?? [])].some(
			(candidate) =>
				!parts.includes(candidate) &&
				others.every((crash) => crash.parts.has(candidate)),
		);
	}

	/** A crash is kept without parts, too: a later notice may give a later time for it, from which they had not survived. */
	#crashOf(endpoint: number, startedAt: number, at: number): Crash {
		const id = `${endpoint} ${startedAt}`;
		let crash = this.#crashes.get(id);
		if (!crash) {
			crash = {
				endpoint,
				startedAt,
				at,
				parts: new Set(),
				ownParts: new Set(),
			};
			this.#crashes.set(id, crash);
			this.#dropOldest();
		}

		return crash;
	}

	#hasSurvived(part: number, {at}: Crash): boolean {
		const survival = this.#survivals.get(part);
		return survival !== undefined && survival.at >= at;
	}

	#crashesOf(part: number): Set<Crash> {
		let crashes = this.#byPart.get(part);
		if (!crashes) {
			crashes = new Set();
			this.#byPart.set(part, crashes);
		}

		return crashes;
	}

	#dropPart(crash: Crash, part: number): void {
		crash.parts.delete(part);
		crash.ownParts.delete(part);
		const crashes = this.#byPart.get(part);
		crashes?.delete(crash);
		if (crashes?.size === 0) {
			this.#byPart.delete(part);
			this.#probes.delete(part);
		}
	}

	#dropOldest(): void {
		for (const [id, crash] of this.#crashes) {
			if (this.#crashes.size <= maxCrashes) {
				break;
			}

			this.#drop(id, crash);
		}
	}

	#drop(id: string, crash: Crash): void {
		this.#crashes.delete(id);
		for (const part of crash.parts) {
			this.#dropPart(crash, part);
		}
	}

	#expire(now: number): void {
		if (now - this.#expiredAt < expiryIntervalMs) {
			return;
		}

		this.#expiredAt = now;
		for (const [id, crash] of this.#crashes) {
			if (now - crash.at >= maxCrashAgeMs) {
				this.#drop(id, crash);
			}
		}

		expireObservations(this.#survivals, now, maxCrashAgeMs);
		expireObservations(this.#probes, now, probeTimeoutMs);
	}
}

/** Keys of the parts of a prompt that other requests may share. The last part is the request's own. */
export function partKeys(parts: readonly PromptPart[]): number[] {
	return parts.slice(0, -1).map(({id}) => hash32(id));
}
