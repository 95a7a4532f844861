import type {AnswerHead} from '../../interfaces/index.js';
import type {
	EndpointSet,
	RateLimits,
	Upstream,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import type {GatewayMetrics} from './gateway-metrics.js';

const serviceUnavailable = 503;

/** Status of another endpoint at a reused address. */
const misdirectedRequest = 421;

export type EndpointSignalsOptions = {
	readonly endpoints: EndpointSet;
	readonly log: Log;
	readonly metrics: GatewayMetrics;
	readonly rateLimits: RateLimits;
	/** An answer has changed the request limit in force. */
	readonly onDidChangeRateLimit: (upstream: Upstream) => void;
};

/** Applies what endpoints announce of themselves in the headers of their responses, whichever request a response belongs to: that they are leaving, a Retry-After, and a request limit. */
export class EndpointSignals {
	readonly #endpoints: EndpointSet;
	readonly #log: Log;
	readonly #metrics: GatewayMetrics;
	readonly #rateLimits: RateLimits;
	readonly #onDidChangeRateLimit: (upstream: Upstream) => void;
	/** Endpoints whose request limit was unreadable and has been logged. */
	readonly #loggedBadRequestLimit = new WeakSet<Upstream>();
	/** Endpoints whose unreadable Retry-After has already been logged. */
	readonly #loggedBadRetryAfter = new WeakSet<Upstream>();

	constructor({
		endpoints,
		log,
		metrics,
		rateLimits,
		onDidChangeRateLimit,
	}: EndpointSignalsOptions) {
		this.#endpoints = endpoints;
		this.#log = log;
		this.#metrics = metrics;
		this.#rateLimits = rateLimits;
		this.#onDidChangeRateLimit = onDidChangeRateLimit;
	}

	/** `isOwn` means that the response answers the request that was sent on its connection; only such a response shows that a limit has ended. */
	applyHead(
		upstream: Upstream,
		status: number,
		head: AnswerHead,
		isOwn: boolean,
	): void {
		if (head.isLeaving && this.#endpoints.markLeaving(upstream)) {
			this.#metrics.leaving('answer');
			this.#log.info('endpoint_leaving_said', {
				endpoint: upstream.id,
				by: 'answer',
			});
		}

		if (status === serviceUnavailable) {
			this.#applyRetryAfter(upstream, head);
		}

		if (status !== misdirectedRequest) {
			this.#applyRequestLimit(upstream, head, isOwn);
		}
	}

	#applyRequestLimit(
		upstream: Upstream,
		{requestsPerSecond, hasBadRequestLimit, isSigned}: AnswerHead,
		isOwn: boolean,
	): void {
		if (hasBadRequestLimit) {
			if (!this.#loggedBadRequestLimit.has(upstream)) {
				this.#loggedBadRequestLimit.add(upstream);
				this.#log.warn('endpoint_limit_unreadable', {endpoint: upstream.id});
			}

			return;
		}

		const isStatement = requestsPerSecond !== undefined || (isOwn && isSigned);
		if (
			isStatement &&
			this.#rateLimits.observe(
				upstream.key,
				upstream.listed.startedAt ?? 0,
				requestsPerSecond,
				monotonicNow(),
			)
		) {
			this.#metrics.rateLimited('answer');
			this.#log.info('endpoint_limit', {
				endpoint: upstream.id,
				per_second: requestsPerSecond ?? '',
				by: 'answer',
			});
			this.#onDidChangeRateLimit(upstream);
		}
	}

	#applyRetryAfter(
		upstream: Upstream,
		{retryAfterMs, hasBadRetryAfter}: AnswerHead,
	): void {
		if (hasBadRetryAfter && !this.#loggedBadRetryAfter.has(upstream)) {
			this.#loggedBadRetryAfter.add(upstream);
			this.#log.warn('endpoint_rest_unreadable', {endpoint: upstream.id});
		}

		if (retryAfterMs === undefined || retryAfterMs === 0) {
			return;
		}

		upstream.backOff(monotonicNow() + retryAfterMs);
		this.#metrics.backedOff(upstream.listed.service);
		this.#log.info('endpoint_rests', {
			endpoint: upstream.id,
			for_ms: Math.round(retryAfterMs),
		});
	}
}
