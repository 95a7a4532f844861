/** Minimum time between two crashes that count separately, in milliseconds: endpoints that fail together have a common cause other than a request. */
const separateCrashMs = 250;

/** Limits of the state, against callers that send endless distinct requests: an endpoint has up to some hundred requests in progress or in its queue. */
const maxCrashes = 100;
const maxFingerprintsPerCrash = 256;

/** Crash of one incarnation of an endpoint, as far as is known. */
export type Crash = {
	readonly endpoint: number;
	readonly startedAt: number;
	/** Earliest known time, in milliseconds of the monotonic clock. */
	at: number;
	/** Fingerprints of its unanswered requests that have not survived since. */
	readonly fingerprints: Set<number>;
	/** Those of requests of this gateway. */
	readonly ownFingerprints: Set<number>;
	/** Time at which the latest of those became known; negative infinity when there are none. */
	ownKnownAt: number;
};

const none: ReadonlySet<Crash> = new Set();

/** Crash that a gateway observed at `at`, with the fingerprints of the requests that the endpoint had not begun to answer. */
export type ObservedCrash = {
	readonly endpoint: number;
	readonly startedAt: number;
	readonly at: number;
	readonly fingerprints: readonly number[];
};

/** Crashes of endpoints with the fingerprints that they are held against, merged from the observations of all gateways by union and earliest time. */
export class CrashRecords {
	/** By endpoint and start time, in order of arrival. */
	readonly #crashes = new Map<string, Crash>();
	readonly #byFingerprint = new Map<number, Set<Crash>>();
	readonly #survivedAt: (fingerprint: number) => number;

	/** `survivedAt` returns when requests with a fingerprint were last answered without a crash; negative infinity when they were not. */
	constructor(survivedAt: (fingerprint: number) => number) {
		this.#survivedAt = survivedAt;
	}

	/** Fingerprints that any crash is held against. */
	get fingerprints(): number[] {
		return [...this.#byFingerprint.keys()];
	}

	get isEmpty(): boolean {
		return this.#byFingerprint.size === 0;
	}

	/** Crashes in the order in which they became known. */
	get all(): Crash[] {
		return [...this.#crashes.values()];
	}

	/** Whether any crash is held against a fingerprint. */
	has(fingerprint: number): boolean {
		return this.#byFingerprint.has(fingerprint);
	}

	/** Crashes held against a fingerprint. */
	with(fingerprint: number): ReadonlySet<Crash> {
		return this.#byFingerprint.get(fingerprint) ?? none;
	}

	/** Number of separate crashes held against a fingerprint. */
	count(fingerprint: number): number {
		const times = Array.from(this.with(fingerprint), ({at}) => at).toSorted(
			(a, b) => a - b,
		);
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

	lastAt(fingerprint: number): number {
		return Math.max(...Array.from(this.with(fingerprint), ({at}) => at));
	}

	/** Adds what a gateway observed; `ownKnownAt` is the time at which it became known to this one, undefined for another gateway's observation. Returns whether it holds the crash against another fingerprint. */
	add(
		{endpoint, startedAt, at, fingerprints}: ObservedCrash,
		ownKnownAt: number | undefined,
	): boolean {
		const crash = this.#crashOf(endpoint, startedAt, at);
		crash.at = Math.min(crash.at, at);
		for (const fingerprint of crash.fingerprints) {
			if (this.#survivedAt(fingerprint) >= crash.at) {
				this.#dropFingerprint(crash, fingerprint);
			}
		}

		let isChanged = false;
		for (const fingerprint of fingerprints) {
			if (
				!crash.fingerprints.has(fingerprint) &&
				crash.fingerprints.size < maxFingerprintsPerCrash &&
				this.#survivedAt(fingerprint) < crash.at
			) {
				crash.fingerprints.add(fingerprint);
				this.#crashesOf(fingerprint).add(crash);
				isChanged = true;
			}

			if (ownKnownAt !== undefined && crash.fingerprints.has(fingerprint)) {
				crash.ownFingerprints.add(fingerprint);
				crash.ownKnownAt = ownKnownAt;
			}
		}

		return isChanged;
	}

	/** No longer holds the crashes up to `at` against a fingerprint. Returns whether there were any. */
	clear(fingerprint: number, at: number): boolean {
		let isChanged = false;
		for (const crash of this.with(fingerprint)) {
			if (crash.at <= at) {
				this.#dropFingerprint(crash, fingerprint);
				isChanged = true;
			}
		}

		return isChanged;
	}

	/** Forgets crashes that are too old. */
	expire(now: number, maxAgeMs: number): void {
		for (const [id, crash] of this.#crashes) {
			if (now - crash.at >= maxAgeMs) {
				this.#drop(id, crash);
			}
		}
	}

	/** A crash is kept without fingerprints, too: a later notice may give a later time for it, from which they had not survived. */
	#crashOf(endpoint: number, startedAt: number, at: number): Crash {
		const id = `${endpoint} ${startedAt}`;
		let crash = this.#crashes.get(id);
		if (!crash) {
			crash = {
				endpoint,
				startedAt,
				at,
				fingerprints: new Set(),
				ownFingerprints: new Set(),
				ownKnownAt: Number.NEGATIVE_INFINITY,
			};
			this.#crashes.set(id, crash);
			this.#dropOldest();
		}

		return crash;
	}

	#crashesOf(fingerprint: number): Set<Crash> {
		let crashes = this.#byFingerprint.get(fingerprint);
		if (!crashes) {
			crashes = new Set();
			this.#byFingerprint.set(fingerprint, crashes);
		}

		return crashes;
	}

	#dropFingerprint(crash: Crash, fingerprint: number): void {
		crash.fingerprints.delete(fingerprint);
		crash.ownFingerprints.delete(fingerprint);
		const crashes = this.#byFingerprint.get(fingerprint);
		crashes?.delete(crash);
		if (crashes?.size === 0) {
			this.#byFingerprint.delete(fingerprint);
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
		for (const fingerprint of crash.fingerprints) {
			this.#dropFingerprint(crash, fingerprint);
		}
	}
}
