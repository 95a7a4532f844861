/** Weight of a new sample of the first-token time, and of a gap, in the moving ratios. */
const firstTokenWeight = 0.2;
const gapWeight = 0.02;

/** Largest sample, so that one stall, or a caller that reads slowly, does not eject an endpoint. */
const maxSample = 10;

/** Shortest expected time in a ratio, in milliseconds; below that noise dominates. */
const minExpectedMs = 20;

/** Samples of first tokens after which an endpoint is judged, and endpoints with as many that the judgement needs. */
const minSamples = 5;
const minPeers = 3;

/** Least time between two judgements of one target, in milliseconds: each looks at all of its endpoints. */
const judgePeriodMs = 500;

/** An endpoint is an outlier when a ratio of its exceeds this multiple of the median of its peers. */
const outlierFactor = 3;

/** Largest part of a model's endpoints that is ejected at once. */
const maxEjectedPart = 0.3;

/** First ejection, in milliseconds; each further one is twice as long, up to the longest. */
const firstEjectionMs = 5000;
const longestEjectionMs = 300_000;

/** Time without an ejection after which the next one is short again, in milliseconds. */
const forgiveMs = 600_000;

type Health = {
	firstToken: number;
	gap: number;
	samples: number;
	/** End of the last ejection. */
	ejectedUntil: number;
	ejectionMs: number;
	lastEjectedAt: number | undefined;
	/** A probe is in progress since then. */
	probedAt: number | undefined;
};

type Peer = {readonly name: string; readonly health: Health};

/** Which of a model's endpoints are ejected, and the one that the request at hand is to probe. */
export type Judgement = {
	readonly ejected: ReadonlySet<string>;
	readonly probe: string | undefined;
};

/** What an entry has seen of endpoints: ejects those that are far slower than their peers, and readmits them by a probe. */
export class Outliers {
	readonly #health = new Map<string, Health>();
	readonly #ejected = new Map<string, Health>();
	/** Time of the last judgement, by target. */
	readonly #judgedAt = new Map<string, number>();

	/** Notes the time to the first token of an attempt, against what the sidecar promised, in milliseconds. Ends a probe. */
	firstToken(
		endpoint: string,
		observedMs: number,
		promisedMs: number,
		now: number,
	): void {
		const health = this.#of(endpoint);
		const sample = ratio(observedMs, Math.max(promisedMs, minExpectedMs));
		health.samples++;
		health.firstToken += firstTokenWeight * (sample - health.firstToken);
		if (health.probedAt !== undefined) {
			this.#endProbe(endpoint, health, sample < outlierFactor, now);
		}
	}

	/** Notes the time between two chunks, against the target of the class, in milliseconds. */
	gap(endpoint: string, observedMs: number, targetMs: number): void {
		const health = this.#of(endpoint);
		health.gap += gapWeight * (ratio(observedMs, targetMs) - health.gap);
	}

	/** Notes an attempt that failed or was lost. */
	failure(endpoint: string, now: number): void {
		this.firstToken(endpoint, Number.POSITIVE_INFINITY, 0, now);
	}

	/**
	 * Judges the peers that serve one target, and ejects those that have become
	 * outliers. An endpoint whose ejection is over is the probe of one request.
	 */
	judge(target: string, peers: readonly string[], now: number): Judgement {
		const judgedAt = this.#judgedAt.get(target);
		if (judgedAt === undefined || now - judgedAt >= judgePeriodMs) {
			this.#judgedAt.set(target, now);
			this.#judgePeers(peers, now);
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

	/** Names of the endpoints that are ejected, for a dump. */
	names(): string[] {
		return [...this.#ejected.keys()];
	}

	#judgePeers(peers: readonly string[], now: number): void {
		const known = peers
			.map((name) => ({name, health: this.#health.get(name)}))
			.filter(
				(peer): peer is Peer => (peer.health?.samples ?? 0) >= minSamples,
			);
		if (known.length < minPeers) {
			return;
		}

		const firstToken = median(known.map(({health}) => health.firstToken));
		const gap = median(known.map(({health}) => health.gap));
		const out = peers.filter((name) => this.#ejected.has(name)).length;
		const room = Math.floor(peers.length * maxEjectedPart) - out;
		const outliers = known.filter(
			({name, health}) =>
				!this.#ejected.has(name) &&
				(health.firstToken > outlierFactor * Math.max(1, firstToken) ||
					(health.gap > 1 && health.gap > outlierFactor * gap)),
		);
		for (const {name, health} of outliers.slice(0, Math.max(0, room))) {
			this.#eject(name, health, now);
		}
	}

	/** Readmits an endpoint whose probe did well; ejects it for longer otherwise. */
	#endProbe(name: string, health: Health, isGood: boolean, now: number): void {
		health.probedAt = undefined;
		if (isGood) {
			this.#ejected.delete(name);
			health.samples = 0;
			health.firstToken = 1;
			health.gap = 0;
		} else {
			this.#eject(name, health, now);
		}
	}

	#of(endpoint: string): Health {
		let health = this.#health.get(endpoint);
		if (!health) {
			health = {
				firstToken: 1,
				gap: 0,
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
			lastEjectedAt === undefined || now - lastEjectedAt > forgiveMs;
		health.ejectionMs = isFirst
			? firstEjectionMs
			: Math.min(longestEjectionMs, health.ejectionMs * 2);
		health.lastEjectedAt = now;
		health.ejectedUntil = now + health.ejectionMs;
	}
}

function ratio(observedMs: number, expectedMs: number): number {
	return Math.min(maxSample, observedMs / expectedMs);
}

/** Whether an ejection is over and no probe is in progress; a probe that brings no answer makes way for another one. */
function isProbeDue(health: Health, now: number): boolean {
	const {ejectedUntil, probedAt} = health;
	return (
		ejectedUntil <= now &&
		(probedAt === undefined || now - probedAt > firstEjectionMs)
	);
}

function median(values: number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor(sorted.length / 2)]!;
}
