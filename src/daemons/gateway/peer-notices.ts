import type {Disposable} from '../../base/index.js';
import type {
	CrashNotices,
	CrashSuspects,
	EndpointSet,
	Contention,
	RateLimitNotice,
	RateLimits,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import {encodeMessage} from './peer-messages.js';

/** Interval at which all crashes that withhold requests are sent, in milliseconds; a gateway that has started since needs them. */
const fullNoticeIntervalMs = 2000;

/** Time in which observations of crashes are collected for one notice, in milliseconds: an endpoint that crashes breaks off many requests at once. */
const collectMs = 5;

/** Minimum interval between two reports of contention, in milliseconds, and the addition for each other gateway: use decays over seconds, and every gateway receives the reports of all others. */
const contentionIntervalMs = 400;
const contentionIntervalPerPeerMs = 15;

export type PeerNoticesOptions = {
	/** Name of this gateway. */
	readonly instance: string;
	readonly endpoints: EndpointSet;
	readonly rateLimits: RateLimits;
	readonly crashSuspects: CrashSuspects;
	readonly contention: Contention;
	readonly log: Log;
	readonly metrics: GatewayMetrics;
	/** Another gateway has observed a crash or a survival that was not known here. */
	readonly onDidChangeSuspects: () => void;
};

/** Sends what this gateway has observed about endpoints to the others and applies what they have observed. */
export class PeerNotices implements Disposable {
	readonly #options: PeerNoticesOptions;
	readonly #broadcast: (bytes: Uint8Array) => void;
	#lastFullNoticeAt = Number.NEGATIVE_INFINITY;
	#lastContentionAt = Number.NEGATIVE_INFINITY;
	/** Also rises across restarts, so that the other gateways do not take the first reports of this process for old ones. */
	#contentionSequence = Date.now();
	#crashTimer: NodeJS.Timeout | undefined;

	constructor(
		options: PeerNoticesOptions,
		/** Sends a datagram to each other gateway. */
		broadcast: (bytes: Uint8Array) => void,
	) {
		this.#options = options;
		this.#broadcast = broadcast;
	}

	/** Informs the other gateways of the request limits of endpoints, at once and with each report while they are recent. */
	sendRateLimits(): void {
		const {instance, rateLimits} = this.#options;
		const notices = rateLimits.notices(monotonicNow());
		if (notices.length > 0) {
			this.#broadcast(
				encodeMessage({type: 'rate limits', gateway: instance, notices}),
			);
		}
	}

	/** Sends a notice of crashes soon, with all that is observed until then. */
	sendCrashesSoon(): void {
		this.#crashTimer ??= setTimeout(() => {
			this.#crashTimer = undefined;
			this.sendCrashes();
		}, collectMs);
	}

	/** Informs the other gateways of crashes and the fingerprints that they are held against, at once and with each report while they are recent. */
	sendCrashes(): void {
		const {instance, crashSuspects} = this.#options;
		const now = monotonicNow();
		const isFull = now - this.#lastFullNoticeAt >= fullNoticeIntervalMs;
		const notices = crashSuspects.notices(now, isFull);
		if (isFull) {
			this.#lastFullNoticeAt = now;
		}

		if (notices) {
			this.#broadcast(
				encodeMessage({type: 'crashes', gateway: instance, notices}),
			);
		}
	}

	/** Informs the other gateways of probes of ejected endpoints and their success, at once and with each report while they are recent. */
	sendHealth(): void {
		const {instance, endpoints} = this.#options;
		const notices = endpoints.healthNotices(monotonicNow());
		if (notices.length > 0) {
			this.#broadcast(
				encodeMessage({type: 'health', gateway: instance, notices}),
			);
		}
	}

	/** Informs the other gateways of what workspaces have used here, and of the return times of refused callers, while requests wait for capacity at any gateway. */
	sendContention(peers: number): void {
		const {instance, contention, metrics} = this.#options;
		const now = monotonicNow();
		if (
			now - this.#lastContentionAt <
			contentionIntervalMs + contentionIntervalPerPeerMs * peers
		) {
			return;
		}

		const shares = contention.shares.report(now);
		const returns = contention.returns.notices(now);
		if (shares.length > 0 || returns.length > 0) {
			this.#lastContentionAt = now;
			this.#contentionSequence++;
			metrics.contentionSent(peers);
			this.#broadcast(
				encodeMessage({
					type: 'contention',
					gateway: instance,
					sequence: this.#contentionSequence,
					shares,
					returns,
				}),
			);
		}
	}

	applyRateLimits(
		gateway: string,
		notices: readonly RateLimitNotice[],
		now: number,
	): void {
		const {endpoints, rateLimits, log, metrics} = this.#options;
		for (const key of rateLimits.apply(gateway, notices, now)) {
			metrics.rateLimited('peer');
			log.info('endpoint_limit', {
				endpoint: endpoints.byKey(key)?.id ?? key,
				per_second: rateLimits.perSecond(key) ?? '',
				by: gateway,
			});
		}
	}

	applyCrashes(notices: CrashNotices, now: number): void {
		const {crashSuspects, onDidChangeSuspects} = this.#options;
		if (crashSuspects.apply(notices, now)) {
			onDidChangeSuspects();
		}
	}

	dispose(): void {
		clearTimeout(this.#crashTimer);
	}
}
