import type {PromptPart} from '../../interfaces/index.js';
import type {
	ConnectionState,
	CrashSuspects,
	EndpointSet,
	Upstream,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import {refusesConnections} from './connection-probe.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {LivenessChecks} from './liveness-checks.js';
import type {PeerNotices} from './peer-notices.js';

export type CrashReportsOptions = {
	readonly crashSuspects: CrashSuspects;
	readonly endpoints: EndpointSet;
	readonly livenessChecks: LivenessChecks;
	readonly notices: PeerNotices;
	readonly log: Log;
	readonly metrics: GatewayMetrics;
	/** A crash or a survival has been recorded. */
	readonly onDidChangeSuspects: () => void;
};

/** Request that ended without an answer, for the record of a crash. */
export type UnansweredRequest = {
	readonly requestId: string;
	readonly fingerprints: readonly number[];
	readonly parts: readonly PromptPart[];
	/** Time at which its connection ended, in milliseconds of the monotonic clock. */
	readonly at: number;
	/** It ended because its engine had been judged to be gone. */
	readonly isEngineGone: boolean;
	/** Whether its endpoint or this gateway closed the connection. */
	readonly connection: ConnectionState;
};

/** Bounds of the prompt parts in a log line: callers choose their number and length. */
const maxLoggedParts = 8;
const maxLoggedIdLength = 32;

/** Records the fingerprints of unanswered requests once it is known that their endpoint has crashed, and not only lost a connection. */
export class CrashReports {
	readonly #options: CrashReportsOptions;
	/** Probes of plain servers in progress; one serves all requests that were broken off. */
	readonly #probes = new Map<Upstream, Promise<boolean>>();

	constructor(options: CrashReportsOptions) {
		this.#options = options;
	}

	/** Handles a request whose endpoint closed the connection or went silent before it had begun to answer; never rejects. */
	async recordUnanswered(
		upstream: Upstream,
		request: UnansweredRequest,
	): Promise<void> {
		const {crashSuspects, notices, log, metrics} = this.#options;
		const {requestId, fingerprints, parts, at, isEngineGone} = request;
		if (
			upstream.isLeaving ||
			!(isEngineGone || (await this.#hasCrashed(upstream, request)))
		) {
			return;
		}

		const {key: endpoint, listed} = upstream;
		const {startedAt = 0} = listed;
		const crash = {endpoint, startedAt, at, fingerprints};
		if (crashSuspects.recordCrash(crash, monotonicNow())) {
			metrics.crashSuspected(listed.service);
			log.info('crash_suspects', {
				endpoint: upstream.id,
				request: requestId,
				fingerprint: fingerprints.at(-1) ?? 0,
				parts: loggedParts(parts),
			});
			notices.sendCrashesSoon();
			this.#options.onDidChangeSuspects();
		}
	}

	/** Records that an endpoint has answered a request with the fingerprints, or has begun to and not crashed. */
	recordSurvival(fingerprints: readonly number[], now: number): void {
		if (this.#options.crashSuspects.recordSurvival(fingerprints, now)) {
			this.#options.notices.sendCrashesSoon();
			this.#options.onDidChangeSuspects();
		}
	}

	/** Records that a request of this gateway probes the fingerprints. */
	beginProbe(fingerprints: readonly number[], now: number): void {
		this.#options.crashSuspects.beginProbe(fingerprints, now);
		this.#options.notices.sendCrashesSoon();
	}

	/** Resolves to whether the incarnation of an endpoint has ended. That it refuses connections proves this only if it closed the one of the request as well. */
	async #hasCrashed(
		upstream: Upstream,
		{at, connection}: UnansweredRequest,
	): Promise<boolean> {
		const {endpoints, livenessChecks} = this.#options;
		if (!endpoints.has(upstream)) {
			// A server may leave without notice: its entry is removed, and it exits later.
			return endpoints.byKey(upstream.key) !== undefined;
		}

		if (!upstream.kvCacheUsage) {
			return connection === 'closed' && this.#refusesConnections(upstream);
		}

		const liveness = await livenessChecks.check(upstream, at, connection);
		return (
			liveness.type === 'gone' &&
			(liveness.cause === 'newer incarnation' ||
				(liveness.cause === 'refused' && connection === 'closed'))
		);
	}

	async #refusesConnections(upstream: Upstream): Promise<boolean> {
		let probe = this.#probes.get(upstream);
		if (!probe) {
			probe = refusesConnections(upstream.listed.address);
			this.#probes.set(upstream, probe);
			void probe.finally(() => {
				this.#probes.delete(upstream);
			});
		}

		return probe;
	}
}

/** Ids of a prompt's parts for a log line. */
export function loggedParts(parts: readonly PromptPart[]): string {
	return parts
		.slice(0, maxLoggedParts)
		.map(({id}) => id.slice(0, maxLoggedIdLength))
		.join(',');
}
