import type {
	CrashNotice,
	CrashNotices,
	CrashVerdict,
	WithheldFingerprint,
} from './crash-notices.js';
import {CrashRecords, type Crash, type ObservedCrash} from './crash-records.js';
import {
	expireObservations,
	observe,
	ownNotices,
	type Observation,
} from './fingerprint-observations.js';
import {fingerprintKind} from './request-fingerprints.js';

/** Separate crashes under unanswered requests with a fingerprint after which these are withheld. One crash may have any cause. */
const minCrashes = 2;

/** Endpoints that must have crashed under a request, even together, before it is sent to one endpoint at a time: few callers share it, so that its own burst is more likely than a common cause. */
const minEndpoints = 2;

/** Crashes up to which another cause excuses a request itself. Few callers miss one request, so it gets less benefit of the doubt than a part of many prompts. */
const maxExcusedCrashes = 3;

/** Time for which requests are withheld after the crash that brought their fingerprint to the limit, in milliseconds; longer by a factor after each further crash. For a part that many callers share it starts short, as they wait for the probe that clears it; a request of one caller starts a step higher. */
const firstWithheldMs = 4000;
const withheldFactor = 15;
const maxWithheldMs = 600_000;

/** Time after which a probe that has neither crashed its endpoint nor been answered no longer keeps others back, in milliseconds. */
const probeTimeoutMs = 3000;

/** The same while all crashes count as one, in milliseconds: longer than the time after which a further one counts separately, and short for the callers of a popular request whose endpoints failed together. */
const firstProbeTimeoutMs = 400;

/** Age at which a crash is forgotten, in milliseconds: beyond the longest time for which a request is withheld. */
const maxCrashAgeMs = 3 * maxWithheldMs;

/** Age up to which an own observation is sent with each notice, in milliseconds, so that a lost datagram does not matter. */
const recentMs = 1000;

/** Minimum time between two searches for observations that have expired, in milliseconds. */
const expiryIntervalMs = 1000;

/** Crashes in one notice at most, and fingerprints with up to 9 bytes each, the latest ones, so that it fits a datagram. */
const maxCrashesPerNotice = 24;
const maxFingerprintsPerNotice = 600;

/**
 * Finds the requests and the prompt parts that crash endpoints, from the
 * fingerprints of the requests that endpoints had not begun to answer when they
 * crashed. A fingerprint is suspected while no request with it has been answered
 * since; its requests are withheld from all endpoints after two crashes, unless
 * fingerprints that a request lacks explain them all: then the request may show
 * that its own are harmless, one request at a time.
 *
 * All gateways merge the same observations: crashes by union and earliest time,
 * survivals and probes by latest time, so that lost, repeated, late or reordered
 * notices lead to the same state. Needed when a request crashes each server that
 * runs it, wherever it comes again.
 */
export class CrashSuspects {
	readonly #survivals = new Map<number, Observation>();
	readonly #probes = new Map<number, Observation>();
	readonly #records = new CrashRecords(
		(fingerprint) =>
			this.#survivals.get(fingerprint)?.at ?? Number.NEGATIVE_INFINITY,
	);

	#expiredAt = Number.NEGATIVE_INFINITY;

	/** Records a crash that this gateway observed, and that became known `now`: after its connections had ended, its engine had to be probed. Returns whether it adds anything. */
	recordCrash(crash: ObservedCrash, now: number): boolean {
		return this.#records.add(crash, now);
	}

	/** Records that an endpoint has answered a request with the fingerprints, or has begun to and not crashed. Returns whether one of them was suspected. */
	recordSurvival(fingerprints: readonly number[], now: number): boolean {
		const suspected = fingerprints.filter((each) => this.#records.has(each));
		for (const fingerprint of suspected) {
			this.#applySurvival(fingerprint, now, now);
		}

		return suspected.length > 0;
	}

	/** Records that a request of this gateway probes the fingerprints. */
	beginProbe(fingerprints: readonly number[], now: number): void {
		for (const fingerprint of fingerprints) {
			if (this.#records.has(fingerprint)) {
				observe(this.#probes, fingerprint, now, now);
			}
		}
	}

	/** Decides whether a request with the given fingerprints may be sent, or whether one in progress that its endpoint has not begun to answer may go on. */
	check(
		fingerprints: readonly number[],
		now: number,
		isInProgress = false,
	): CrashVerdict {
		if (this.#records.isEmpty) {
			return {type: 'clear'};
		}

		this.#expire(now);
		const suspected = fingerprints.filter(
			(each) => this.#isConfirmed(each) || this.#isProbedFirst(each),
		);
		if (suspected.length === 0) {
			return {type: 'clear'};
		}

		const verdicts = suspected.map((each) =>
			this.#verdictOn(each, fingerprints, now, isInProgress),
		);
		return (
			verdicts.find(({type}) => type === 'withheld') ??
			verdicts.find(({type}) => type === 'wait') ?? {type: 'probe'}
		);
	}

	/** Fingerprints whose requests are withheld, for operators. */
	withheld(now: number): WithheldFingerprint[] {
		return this.#records.fingerprints
			.filter((each) => this.#isConfirmed(each))
			.map((each) => this.#withheld(each, now));
	}

	/** What to tell the other gateways; undefined when there is nothing. `isFull` means all crashes that still withhold requests, for gateways that have started since, instead of the recent ones that this gateway observed. */
	notices(now: number, isFull: boolean): CrashNotices | undefined {
		this.#expire(now);
		const crashes = this.#crashNotices(now, isFull);
		const survivals = ownNotices(this.#survivals, now, recentMs);
		const probes = ownNotices(this.#probes, now, probeTimeoutMs);
		return crashes.length + survivals.length + probes.length > 0
			? {crashes, survivals, probes}
			: undefined;
	}

	/** Applies the notices of another gateway. Returns whether they add a crash or a survival. */
	apply({crashes, survivals, probes}: CrashNotices, now: number): boolean {
		let isChanged = false;
		for (const {fingerprint, ageMs} of survivals) {
			const isNew = this.#applySurvival(
				fingerprint,
				now - ageMs,
				Number.NEGATIVE_INFINITY,
			);
			isChanged ||= isNew;
		}

		for (const {endpoint, startedAt, ageMs, fingerprints} of crashes) {
			if (ageMs < maxCrashAgeMs) {
				const crash = {endpoint, startedAt, at: now - ageMs, fingerprints};
				const isNew = this.#records.add(crash, undefined);
				isChanged ||= isNew;
			}
		}

		for (const {fingerprint, ageMs} of probes) {
			observe(this.#probes, fingerprint, now - ageMs, Number.NEGATIVE_INFINITY);
		}

		return isChanged;
	}

	/** Drops the crashes before a survival from the record of a fingerprint. Returns whether there were any. */
	#applySurvival(fingerprint: number, at: number, ownAt: number): boolean {
		observe(this.#survivals, fingerprint, at, ownAt);
		const isChanged = this.#records.clear(fingerprint, at);
		if (!this.#records.has(fingerprint)) {
			this.#probes.delete(fingerprint);
		}

		return isChanged;
	}

	/** Whether the crashes held against a fingerprint withhold its requests. */
	#isConfirmed(fingerprint: number): boolean {
		return this.#records.count(fingerprint) >= minCrashes;
	}

	/** Whether one request at a time with a fingerprint is sent until one is answered or crashes an endpoint separately. A part that many callers share is not held back: endpoints that fail together have a common cause. */
	#isProbedFirst(fingerprint: number): boolean {
		return (
			fingerprintKind(fingerprint) !== 'shared part' &&
			this.#records.with(fingerprint).size >= minEndpoints
		);
	}

	#withheld(fingerprint: number, now: number): WithheldFingerprint {
		const kind = fingerprintKind(fingerprint);
		const crashes = this.#records.count(fingerprint);
		const steps = crashes - minCrashes + Number(kind !== 'shared part');
		const lengthMs = Math.min(
			maxWithheldMs,
			firstWithheldMs * withheldFactor ** steps,
		);
		const retryAfterMs = Math.max(
			0,
			this.#records.lastAt(fingerprint) + lengthMs - now,
		);
		return {fingerprint, kind, crashes, retryAfterMs};
	}

	/** Whether a request with the fingerprint is under way whose outcome is not known. While all crashes count as one, it may be another that is recorded last. */
	#isProbed(fingerprint: number, now: number): boolean {
		const at = this.#probes.get(fingerprint)?.at ?? Number.NEGATIVE_INFINITY;
		return this.#isConfirmed(fingerprint)
			? at > this.#records.lastAt(fingerprint) && now - at < probeTimeoutMs
			: now - at < firstProbeTimeoutMs;
	}

	/** Decides about one suspected fingerprint of a request. Requests that excuse each other probe one after the other, as a crash under both would tell nothing. */
	#verdictOn(
		fingerprint: number,
		fingerprints: readonly number[],
		now: number,
		isInProgress: boolean,
	): CrashVerdict {
		if (this.#isProbed(fingerprint, now)) {
			return {type: 'wait'};
		}

		const withheld = this.#withheld(fingerprint, now);
		if (!this.#isConfirmed(fingerprint) || withheld.retryAfterMs === 0) {
			return {type: 'probe'};
		}

		const excuses = this.#excuses(withheld, fingerprints, isInProgress);
		if (excuses.length === 0) {
			return {type: 'withheld', ...withheld};
		}

		return excuses.every((each) => this.#isProbed(each, now))
			? {type: 'wait'}
			: {type: 'probe'};
	}

	/** What a request lacks and was there at all crashes held against one of its fingerprints. That the same request was there at all of them excuses a part of a prompt only as far as one probe finds out, not the other requests in progress with it. */
	#excuses(
		{fingerprint, kind, crashes}: WithheldFingerprint,
		fingerprints: readonly number[],
		isInProgress: boolean,
	): number[] {
		const isSharedPart = kind === 'shared part';
		if (!isSharedPart && crashes > maxExcusedCrashes) {
			return [];
		}

		const [first, ...others] = this.#records.with(fingerprint);
		return [...(first?.fingerprints ?? [])].filter(
			(candidate) =>
				!fingerprints.includes(candidate) &&
				!(
					isInProgress &&
					isSharedPart &&
					fingerprintKind(candidate) !== 'shared part'
				) &&
				others.every((crash) => crash.fingerprints.has(candidate)),
		);
	}

	#crashNotices(now: number, isFull: boolean): CrashNotice[] {
		let left = maxFingerprintsPerNotice;
		return this.#records.all
			.filter(({ownKnownAt}) => isFull || now - ownKnownAt < recentMs)
			.map((crash) => ({crash, fingerprints: this.#noticed(crash, isFull)}))
			.filter(({fingerprints}) => fingerprints.length > 0)
			.slice(-maxCrashesPerNotice)
			.toReversed()
			.flatMap(({crash: {endpoint, startedAt, at}, fingerprints}) => {
				const sent = fingerprints.slice(0, left);
				left -= sent.length;
				const ageMs = now - at;
				return sent.length > 0
					? [{endpoint, startedAt, ageMs, fingerprints: sent}]
					: [];
			})
			.toReversed();
	}

	/** Fingerprints of a crash that a notice names: those of this gateway's requests, or all that are held against more than one crash, as only these withhold or excuse a request. */
	#noticed({fingerprints, ownFingerprints}: Crash, isFull: boolean): number[] {
		if (!isFull) {
			return [...ownFingerprints];
		}

		const repeated = [...fingerprints].filter(
			(each) => this.#records.with(each).size > 1,
		);
		return repeated.some((each) => this.#records.count(each) >= minCrashes)
			? repeated
			: [];
	}

	#expire(now: number): void {
		if (now - this.#expiredAt < expiryIntervalMs) {
			return;
		}

		this.#expiredAt = now;
		this.#records.expire(now, maxCrashAgeMs);
		expireObservations(this.#survivals, now, maxCrashAgeMs);
		expireObservations(this.#probes, now, probeTimeoutMs);
	}
}
