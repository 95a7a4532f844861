import type {AnswerHead} from '../../interfaces/index.js';
import type {EndpointSet, Upstream} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import type {GatewayMetrics} from './gateway-metrics.js';

const serviceUnavailable = 503;

/** Applies the leaving and Retry-After signals in the headers of endpoint responses, whichever request a response belongs to. */
export class EndpointSignals {
	readonly #endpoints: EndpointSet;
	readonly #log: Log;
	readonly #metrics: GatewayMetrics;
	/** Endpoints whose unreadable Retry-After has already been logged. */
	readonly #loggedBadRetryAfter = new WeakSet<Upstream>();

	constructor(endpoints: EndpointSet, log: Log, metrics: GatewayMetrics) {
		this.#endpoints = endpoints;
		this.#log = log;
		this.#metrics = metrics;
	}

	applyHead(upstream: Upstream, status: number, head: AnswerHead): void {
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
