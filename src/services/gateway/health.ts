/** Duration of the first ejection after a failed connection or a timeout, in milliseconds; doubles with each further one. */
const initialBlockMs = 500;

/** Maximum duration of an ejection, in milliseconds; a restarted endpoint is used again within it. */
const maxBlockMs = 8000;

/** Time since the start of the last ejection after which the next one has the initial duration again, in milliseconds. */
const blockResetMs = 20_000;

/** Weight of one outcome in the moving average of failures. */
const outcomeWeight = 0.25;

/** Time in which the average of failures decays to a third while there are no outcomes, so that the endpoint is tried again, in milliseconds. */
const decayMs = 4000;

/** Time after the start of another gateway's probe for which this gateway sends none, unless that one was answered, in milliseconds. */
const probeHoldMs = 1000;

/** Time for which a probe or its success is reported to the other gateways, in milliseconds, so that a lost datagram does not matter. */
const reportedMs = 1000;

/** What a gateway tells the others about its latest probe of an endpoint. */
export type HealthNotice = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Unix time of its start in milliseconds; 0 when unknown. */
	readonly startedAt: number;
	/** Time since the probe began, in milliseconds. */
	readonly probeAgeMs: number;
	/** Time since it succeeded, in milliseconds; undefined when it has not. */
	readonly successAgeMs: number | undefined;
};

/** Passive health check of an endpoint by the outcomes of its requests; ejects it with exponential back-off. */
export class Health {
	#failingPart = 0;
	#updatedAt = 0;
	#blockedUntil = 0;
	#blockMs = 0;
	#lastBlockAt = Number.NEGATIVE_INFINITY;
	/** Half-open after an ejection: a single request probes the endpoint. */
	#isOnTrial = false;
	/** Times of this gateway's latest probe and of its success. */
	#probedAt = Number.NEGATIVE_INFINITY;
	#probeSucceededAt = Number.NEGATIVE_INFINITY;
	/** Latest times of the other gateways' probes and of their successes. */
	#peerProbedAt = Number.NEGATIVE_INFINITY;
	#peerSucceededAt = Number.NEGATIVE_INFINITY;

	/** Records a good answer, which ends an ejection. */
	succeeded(now: number): void {
		this.#addOutcome(0, now);
		if (this.#isOnTrial) {
			// A request from before the ejection may be the first to succeed.
			this.#probedAt = Math.max(this.#probedAt, this.#lastBlockAt);
			this.#probeSucceededAt = now;
		}

		this.#isOnTrial = false;
		this.#blockedUntil = 0;
	}

	/** Records a bad answer; ejects the endpoint only when this was the probe, as its next answer may be good. */
	failed(now: number): void {
		this.#addOutcome(1, now);
		if (this.#isOnTrial) {
			this.block(now);
		}
	}

	/** Ejects an endpoint that is down or timed out: it gets no requests for a time. */
	block(now: number): void {
		this.#addOutcome(1, now);
		if (now < this.#blockedUntil) {
			return;
		}

		const isFirst = now - this.#lastBlockAt > blockResetMs;
		this.#blockMs = isFirst
			? initialBlockMs
			: Math.min(maxBlockMs, this.#blockMs * 2);
		this.#lastBlockAt = now;
		this.#blockedUntil = now + this.#blockMs;
		this.#isOnTrial = true;
	}

	/** Time until the ejection ends and the endpoint may be probed, in milliseconds. */
	blockedMs(now: number): number {
		return Math.max(0, this.#blockedUntil - now);
	}

	/** Records that a request of this gateway probes the endpoint. */
	beginProbe(now: number): void {
		this.#probedAt = now;
	}

	/** Whether this gateway may probe the endpoint once its own ejection has ended. All gateways together send one probe at a time until one succeeds, as each one to an endpoint that is down fails a request. */
	mayProbe(now: number): boolean {
		return (
			this.#peerSucceededAt >= this.#peerProbedAt ||
			now - this.#peerProbedAt >= probeHoldMs
		);
	}

	/** Ages of this gateway's latest probe and its success, in milliseconds; undefined when they are not recent. */
	probeNotice(
		now: number,
	): Pick<HealthNotice, 'probeAgeMs' | 'successAgeMs'> | undefined {
		const hasSucceeded = this.#probeSucceededAt >= this.#probedAt;
		const latestAt = Math.max(this.#probedAt, this.#probeSucceededAt);
		return now - latestAt < reportedMs
			? {
					probeAgeMs: now - this.#probedAt,
					successAgeMs: hasSucceeded ? now - this.#probeSucceededAt : undefined,
				}
			: undefined;
	}

	/** Applies another gateway's notice; the latest times count. */
	applyProbeNotice(
		{
			probeAgeMs,
			successAgeMs,
		}: Pick<HealthNotice, 'probeAgeMs' | 'successAgeMs'>,
		now: number,
	): void {
		this.#peerProbedAt = Math.max(this.#peerProbedAt, now - probeAgeMs);
		if (successAgeMs !== undefined) {
			this.#peerSucceededAt = Math.max(
				this.#peerSucceededAt,
				now - successAgeMs,
			);
		}
	}

	/** Whether the next outcome decides if the endpoint is ejected again. */
	get isOnTrial(): boolean {
		return this.#isOnTrial;
	}

	/** Fraction of recent requests that failed, 0 to 1. */
	failingPart(now: number): number {
		return this.#failingPart * Math.exp((this.#updatedAt - now) / decayMs);
	}

	#addOutcome(outcome: number, now: number): void {
		const part = this.failingPart(now);
		this.#failingPart = part + outcomeWeight * (outcome - part);
		this.#updatedAt = now;
	}
}
