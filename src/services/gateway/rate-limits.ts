/** Time in seconds for which a limit may be saved up while an endpoint gets no requests. */
const burstSeconds = 0.25;

/** Requests a second that an endpoint with a lower limit still gets, so that its answers show when the limit ends. */
const minPerSecond = 0.1;

/** Time by which too many requests are made up for at most, in seconds. */
const maxDebtSeconds = 2;

/** Time after which an observation is no longer reported to other gateways, in milliseconds. */
const maxReportedAgeMs = 30_000;

/** Time after which the limit of an endpoint that is not observed any more is dropped, in milliseconds. */
const maxObservedAgeMs = 600_000;

/** What a gateway knows first-hand of one endpoint's request limit. */
export type RateLimitNotice = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Unix time of its start in milliseconds; 0 when unknown. */
	readonly startedAt: number;
	/** Requests a second that it takes from all gateways together; undefined when its latest answer named no limit. */
	readonly perSecond: number | undefined;
	/** Time since that answer, in milliseconds. */
	readonly ageMs: number;
	/** Requests that the gateway has sent to it since it knows of the limit. */
	readonly sent: number;
};

/** Request limit of one incarnation of an endpoint, with the requests that all gateways have sent to it. */
type RateLimit = {
	readonly startedAt: number;
	perSecond: number | undefined;
	/** Time of the latest answer that showed it, at any gateway, in milliseconds. */
	observedAt: number;
	/** Latest answer that this gateway received. */
	own:
		{readonly perSecond: number | undefined; readonly at: number} | undefined;
	/** Token bucket: requests that may be sent at `refilledAt`; negative when gateways have sent too many. */
	tokens: number;
	refilledAt: number;
	/** Requests that this gateway has sent. */
	sent: number;
	/** Requests of each other gateway that have been taken from the bucket. */
	readonly counted: Map<string, number>;
};

/**
 * Request limits that endpoints name for all gateways together. Each gateway
 * learns them from answers and from the others' notices, and keeps a token
 * bucket for each limited endpoint from the requests that all of them report.
 * Only the owner of an endpoint grants requests from its bucket. The buckets of
 * the others are up to date when one of them becomes the owner, and two owners
 * that grant at the same time see each other's requests with the next notice.
 */
export class RateLimits {
	readonly #limits = new Map<number, RateLimit>();

	/** Records what an answer of an endpoint says; undefined when it names no limit. Returns whether the limit in force changes. */
	observe(
		endpoint: number,
		startedAt: number,
		perSecond: number | undefined,
		now: number,
	): boolean {
		const isNew = !this.#limits.has(endpoint);
		const limit = this.#limitOf(endpoint, startedAt, perSecond, now);
		if (!limit) {
			return false;
		}

		limit.own = {perSecond, at: now};
		return update(limit, perSecond, now, now) || isNew;
	}

	/** Applies the notices of another gateway. Returns the endpoints whose limit in force changes. */
	apply(
		gateway: string,
		notices: readonly RateLimitNotice[],
		now: number,
	): number[] {
		const changed: number[] = [];
		for (const {endpoint, startedAt, perSecond, ageMs, sent} of notices) {
			const isNew = !this.#limits.has(endpoint);
			const limit = this.#limitOf(endpoint, startedAt, perSecond, now);
			if (limit) {
				count(limit, gateway, sent, now);
				if (update(limit, perSecond, now - ageMs, now) || isNew) {
					changed.push(endpoint);
				}
			}
		}

		return changed;
	}

	/** Own observations and counts, for the other gateways. What others observed is left out, so that no observation looks more recent each time it is passed on. */
	notices(now: number): RateLimitNotice[] {
		const notices: RateLimitNotice[] = [];
		for (const [endpoint, limit] of this.#limits) {
			const {startedAt, own, sent} = limit;
			if (now - limit.observedAt > maxObservedAgeMs) {
				this.#limits.delete(endpoint);
			} else if (own && now - own.at <= maxReportedAgeMs) {
				const {perSecond, at} = own;
				notices.push({endpoint, startedAt, perSecond, ageMs: now - at, sent});
			}
		}

		return notices;
	}

	/** Requests a second that an endpoint takes from all gateways together; undefined when it has no limit. */
	perSecond(endpoint: number): number | undefined {
		return this.#limits.get(endpoint)?.perSecond;
	}

	/** Takes one request from the bucket of an endpoint that this gateway owns, for another gateway or, when that is undefined, for itself. Returns 0, or the time in milliseconds until there may be one. */
	take(endpoint: number, gateway: string | undefined, now: number): number {
		const limit = this.#limits.get(endpoint);
		if (limit?.perSecond === undefined) {
			return 0;
		}

		refill(limit, now);
		if (limit.tokens < 1) {
			return ((1 - limit.tokens) / rate(limit.perSecond)) * 1000;
		}

		limit.tokens--;
		if (gateway === undefined) {
			limit.sent++;
		} else {
			limit.counted.set(gateway, (limit.counted.get(gateway) ?? 0) + 1);
		}

		return 0;
	}

	/** Counts a request of this gateway that the owner of the endpoint has granted. */
	recordGranted(endpoint: number, now: number): void {
		const limit = this.#limits.get(endpoint);
		if (limit?.perSecond !== undefined) {
			takeTokens(limit, 1, now);
			limit.sent++;
		}
	}

	/** Drops what is known of an endpoint that has been removed. */
	forget(endpoint: number): void {
		this.#limits.delete(endpoint);
	}

	/** Returns the limit of an incarnation, and creates it when it is named; undefined for an endpoint without a limit and for an earlier incarnation. A new bucket is empty, because other gateways may just have sent requests. */
	#limitOf(
		endpoint: number,
		startedAt: number,
		perSecond: number | undefined,
		now: number,
	): RateLimit | undefined {
		const known = this.#limits.get(endpoint);
		if (known && known.startedAt >= startedAt) {
			return known.startedAt === startedAt ? known : undefined;
		}

		if (perSecond === undefined) {
			this.#limits.delete(endpoint);
			return undefined;
		}

		const limit: RateLimit = {
			startedAt,
			perSecond,
			observedAt: Number.NEGATIVE_INFINITY,
			own: undefined,
			tokens: 0,
			refilledAt: now,
			sent: 0,
			counted: new Map(),
		};
		this.#limits.set(endpoint, limit);
		return limit;
	}
}

/** Applies an observation unless a later one is known. Returns whether the limit in force changes. */
function update(
	limit: RateLimit,
	perSecond: number | undefined,
	observedAt: number,
	now: number,
): boolean {
	if (observedAt < limit.observedAt) {
		return false;
	}

	limit.observedAt = observedAt;
	if (limit.perSecond === perSecond) {
		return false;
	}

	refill(limit, now);
	if (limit.perSecond === undefined) {
		limit.tokens = 0;
	}

	limit.perSecond = perSecond;
	return true;
}

/** Takes the requests that another gateway has sent beyond those that were granted here from the bucket. */
function count(
	limit: RateLimit,
	gateway: string,
	sent: number,
	now: number,
): void {
	const counted = limit.counted.get(gateway);
	if (counted === undefined) {
		limit.counted.set(gateway, sent);
	} else if (sent > counted) {
		limit.counted.set(gateway, sent);
		takeTokens(limit, sent - counted, now);
	}
}

function takeTokens(limit: RateLimit, tokens: number, now: number): void {
	refill(limit, now);
	if (limit.perSecond !== undefined) {
		limit.tokens = Math.max(
			limit.tokens - tokens,
			-rate(limit.perSecond) * maxDebtSeconds,
		);
	}
}

function refill(limit: RateLimit, now: number): void {
	const {perSecond, refilledAt} = limit;
	limit.refilledAt = now;
	if (perSecond !== undefined) {
		const perMs = rate(perSecond) / 1000;
		limit.tokens = Math.min(
			Math.max(1, rate(perSecond) * burstSeconds),
			limit.tokens + (now - refilledAt) * perMs,
		);
	}
}

function rate(perSecond: number): number {
	return Math.max(perSecond, minPerSecond);
}
