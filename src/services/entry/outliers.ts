/** Weight of a new sample in the moving averages of the first-token and gap ratios. */
const firstTokenWeight = 0.2;
const gapWeight = 0.02;

/** Maximum ratio of one sample, so that a single stall, or a caller that reads slowly, does not eject an endpoint. */
const maxSample = 10;

/** Minimum expected time in a ratio, in milliseconds; noise dominates below that. */
const minExpectedMs = 20;

/** Minimum number of first-token samples of an endpoint, and of endpoints with that many samples, for an evaluation. */
const minSamples = 5;
const minPeers = 3;

/** Minimum time between two evaluations of one target, in milliseconds: each checks all of its endpoints. */
const evaluationIntervalMs = 500;

/** An endpoint is an outlier when one of its ratios exceeds this multiple of the median of its peers, the endpoints of the same target. */
const outlierFactor = 3;

/** Maximum fraction of a target's endpoints that may be ejected at the same time. */
const maxEjectedFraction = 0.3;

/** Duration of the first ejection, in milliseconds; each further one is twice as long, up to the maximum. */
const baseEjectionMs = 5000;
const maxEjectionMs = 300_000;

/** Time since the last ejection after which the next one has the base duration again, in milliseconds. */
const ejectionResetMs = 600_000;

type Health = {
	/** Moving averages of observed to expected time; 1 is on time. */
	firstTokenRatio: number;
	gapRatio: number;
	samples: number;
	/** End of the last ejection; the endpoint stays ejected until a probe succeeds. */
	ejectedUntil: number;
	ejectionMs: number;
	lastEjectedAt: number | undefined;
	/** Start of the probe in progress. */
	probedAt: number | undefined;
};

type Peer = {readonly name: string; readonly health: Health};

/** Endpoints of a target that are ejected, and the one that the current request probes. */
export type Evaluation = {
	readonly ejected: ReadonlySet<string>;
	readonly probe: string | undefined;
};

/** Outlier detection: ejects endpoints that are much slower than their peers, and readmits them after a successful probe. */
export class Outliers {
	readonly #health = new Map<string, Health>();
	readonly #ejected = new Map<string, Health>();
	/** Time of the last evaluation, by target. */
	readonly #evaluatedAt = new Map<string, number>();

	/** Adds the time to the first token of an attempt, relative to what the sidecar promised, in milliseconds. Ends a probe in progress. */
	recordFirstToken(
		endpoint: string,
		observedMs: number,
		promisedMs: number,
		now: number,
	): void {
		const health = this.#healthOf(endpoint);
		const sample = ratio(observedMs, Math.max(promisedMs, minExpectedMs));
		health.samples++;
		health.firstTokenRatio +=
			firstTokenWeight * (sample - health.firstTokenRatio);
		if (health.probedAt !== undefined) {
			this.#endProbe(endpoint, health, sample < outlierFactor, now);
		}
	}

	/** Adds the time between two chunks, relative to the target of the request class, in milliseconds. */
	recordGap(endpoint: string, observedMs: number, targetMs: number): void {
		const health = this.#healthOf(endpoint);
		health.gapRatio +=
			gapWeight * (ratio(observedMs, targetMs) - health.gapRatio);
	}

	/** Counts an attempt that failed or was lost as the slowest possible first token. */
	recordFailure(endpoint: string, now: number): void {
		this.recordFirstToken(endpoint, Number.POSITIVE_INFINITY, 0, now);
	}

	/**
	 * Evaluates the endpoints that serve one target, and ejects those that have
	 * become outliers. An endpoint whose ejection time is over is returned as the
	 * probe of one request.
	 */
	evaluate(target: string, peers: readonly string[], now: number): Evaluation {
		const evaluatedAt = this.#evaluatedAt.get(target);
		if (
			evaluatedAt === undefined ||
			now - evaluatedAt >= evaluationIntervalMs
		) {
			this.#evaluatedAt.set(target, now);
			this.#ejectOutliers(peers, now);
		}

		const ejected = new Set<string>();
		let probe: string | undefined;
		for (const [name, health] of this.#ejected) {
			if (!peers.includes(name)) {
				continue;
			}

			if (probe === undefined && isProbeDue(health, now)) {
				health.probedAt = now;
				probe = name;
			} else {
				ejected.add(name);
			}
		}

		return {ejected, probe};
	}

	/** Names of all ejected endpoints, for a diagnostic dump. */
	ejectedNames(): string[] {
		return [...this.#ejected.keys()];
	}

	#ejectOutliers(peers: readonly string[], now: number): void {
		const known = peers
			.map((name) => ({name, health: this.#health.get(name)}))
			.filter(
				(peer): peer is Peer => (peer.health?.samples ?? 0) >= minSamples,
			);
		if (known.length < minPeers) {
			return;
		}

		const medianFirstToken = median(
			known.map(({health}) => health.firstTokenRatio),
		);
		const medianGap = median(known.map(({health}) => health.gapRatio));
		const ejectedCount = peers.filter((name) => this.#ejected.has(name)).length;
		const remainingEjections =
			Math.floor(peers.length * maxEjectedFraction) - ejectedCount;
		const outliers = known.filter(
			({name, health}) =>
				!this.#ejected.has(name) &&
				(health.firstTokenRatio >
					outlierFactor * Math.max(1, medianFirstToken) ||
					(health.gapRatio > 1 && health.gapRatio > outlierFactor * medianGap)),
		);
		for (const {name, health} of outliers.slice(
			0,
			Math.max(0, remainingEjections),
		)) {
			this.#eject(name, health, now);
		}
	}

	/** Readmits an endpoint whose probe succeeded; otherwise ejects it for longer. */
	#endProbe(name: string, health: Health, isGood: boolean, now: number): void {
		health.probedAt = undefined;
		if (isGood) {
			this.#ejected.delete(name);
			health.samples = 0;
			health.firstTokenRatio = 1;
			health.gapRatio = 0;
		} else {
			this.#eject(name, health, now);
		}
	}

	#healthOf(endpoint: string): Health {
		let health = this.#health.get(endpoint);
		if (!health) {
			health = {
				firstTokenRatio: 1,
				gapRatio: 0,
				samples: 0,
				ejectedUntil: 0,
				ejectionMs: 0,
				lastEjectedAt: undefined,
				probedAt: undefined,
			};
			this.#health.set(endpoint, health);
		}

		return health;
	}

	#eject(name: string, health: Health, now: number): void {
		this.#ejected.set(name, health);
		const {lastEjectedAt} = health;
		const isFirst =
			lastEjectedAt === undefined || now - lastEjectedAt > ejectionResetMs;
		health.ejectionMs = isFirst
			? baseEjectionMs
			: Math.min(maxEjectionMs, health.ejectionMs * 2);
		health.lastEjectedAt = now;
		health.ejectedUntil = now + health.ejectionMs;
	}
}

function ratio(observedMs: number, expectedMs: number): number {
	return Math.min(maxSample, observedMs / expectedMs);
}

/** Whether the ejection time is over and no probe is in progress; a probe without a result times out after the base ejection time. */
function isProbeDue(health: Health, now: number): boolean {
	const {ejectedUntil, probedAt} = health;
	return (
		ejectedUntil <= now &&
		(probedAt === undefined || now - probedAt > baseEjectionMs)
	);
}

function median(values: number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)]!;
}
