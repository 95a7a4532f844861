import {setTimeout as delay} from 'node:timers/promises';
import type {Disposable} from '../../base/index.js';
import type {PromptPart} from '../../interfaces/index.js';
import {
	EndedSends,
	type ConnectionState,
	type CrashSuspects,
	type EndedSend,
	type EndpointSet,
	type Upstream,
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
export type UnansweredRequest = EndedSend & {
	/** It ended because its engine had been judged to be gone. */
	readonly isEngineGone: boolean;
	/** Whether its endpoint or this gateway closed the connection. */
	readonly connection: ConnectionState;
};

/** Times after the first unanswered end at an endpoint, and after each check, at which it is checked whether it has crashed, in milliseconds: early enough for a caller that sends its request again at once, and long enough after the end for the request to have run. */
const firstCheckMs = 250;
const nextCheckMs = 750;

/** Bounds of the prompt parts in a log line: callers choose their number and length. */
const maxLoggedParts = 8;
const maxLoggedIdLength = 32;

/** Records the fingerprints of unanswered requests once it is known that their endpoint has crashed, and not only lost a connection. */
export class CrashReports implements Disposable {
	readonly #options: CrashReportsOptions;
	/** Probes of plain servers in progress; one serves all requests that were broken off. */
	readonly #probes = new Map<Upstream, Promise<boolean>>();
	/** Sends that ended unanswered at endpoints that are not known to have crashed. */
	readonly #endedSends = new Map<Upstream, EndedSends>();
	/** Time at which an endpoint was found to have crashed. */
	readonly #crashedAt = new WeakMap<Upstream, number>();
	#isDisposed = false;

	constructor(options: CrashReportsOptions) {
		this.#options = options;
	}

	/** Handles a request whose endpoint closed the connection or went silent before it had begun to answer; never rejects. */
	async recordUnanswered(
		upstream: Upstream,
		request: UnansweredRequest,
	): Promise<void> {
		const {at, isEngineGone, connection} = request;
		if (upstream.isLeaving) {
			return;
		}

		if (isEngineGone || (await this.#hasCrashed(upstream, at, connection))) {
			this.#recordCrash(upstream, [request], at);
		} else if (connection === 'closed') {
			this.recordEnd(upstream, request);
		}
	}

	/** Handles a request that ended unanswered at the gateway, or at an endpoint that seems alive: it may crash its endpoint within a second. One check of the endpoint at a time serves all of them. */
	recordEnd(upstream: Upstream, send: EndedSend): void {
		const crashedAt = this.#crashedAt.get(upstream);
		if (crashedAt !== undefined && send.at - crashedAt < nextCheckMs) {
			this.#recordCrash(upstream, [send], crashedAt);
			return;
		}

		let sends = this.#endedSends.get(upstream);
		if (!sends) {
			sends = new EndedSends();
			this.#endedSends.set(upstream, sends);
			void this.#checkAfterEnds(upstream, sends);
		}

		sends.add(send);
	}

	/** Holds a crash against the requests, and against those that ended there shortly before. */
	#recordCrash(
		upstream: Upstream,
		sends: readonly EndedSend[],
		at: number,
	): void {
		this.#crashedAt.set(upstream, at);
		const ended = this.#endedSends.get(upstream)?.take() ?? [];
		for (const send of [...sends, ...ended]) {
			this.#holdAgainst(upstream, send, at);
		}
	}

	#holdAgainst(
		upstream: Upstream,
		{requestId, fingerprints, parts}: EndedSend,
		at: number,
	): void {
		const {crashSuspects, notices, log, metrics} = this.#options;
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

	/** Checks an endpoint until it is known whether it has crashed under the sends. Never rejects. */
	async #checkAfterEnds(upstream: Upstream, sends: EndedSends): Promise<void> {
		await delay(firstCheckMs, undefined, {ref: false});
		while (!sends.isEmpty && !this.#isDisposed) {
			const checkedAt = monotonicNow();
			if (await this.#hasCrashedAlone(upstream)) {
				this.#recordCrash(upstream, [], checkedAt);
			} else {
				sends.wasAlive(checkedAt);
			}

			if (!sends.isEmpty) {
				await delay(nextCheckMs, undefined, {ref: false});
			}
		}

		this.#endedSends.delete(upstream);
	}

	/** Resolves to whether an endpoint has crashed with no request of this gateway in progress there, whose end would show it. */
	async #hasCrashedAlone(upstream: Upstream): Promise<boolean> {
		if (upstream.ownRunning > 0) {
			return false;
		}

		const hasCrashed = this.#options.endpoints.has(upstream)
			? await refusesConnections(upstream.listed.address)
			: await this.#hasCrashed(upstream, monotonicNow(), 'closed');
		return hasCrashed && !upstream.isLeaving && !this.#isDisposed;
	}

	dispose(): void {
		this.#isDisposed = true;
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

	/** Resolves to whether the incarnation of an endpoint at which a connection ended at `at` has ended. That it refuses connections proves this only if it closed that one as well. One whose entry was removed may be in use again with a new one, as after a row that could not be read. */
	async #hasCrashed(
		upstream: Upstream,
		at: number,
		connection: ConnectionState,
	): Promise<boolean> {
		const {endpoints, livenessChecks} = this.#options;
		const current = endpoints.has(upstream)
			? upstream
			: endpoints.byKey(upstream.key);
		if (!current) {
			// A server may leave without notice: its entry is removed, and it exits later.
			return false;
		}

		if (current.listed.startedAt !== upstream.listed.startedAt) {
			return true;
		}

		if (!current.kvCacheUsage) {
			return connection === 'closed' && this.#refusesConnections(current);
		}

		const liveness = await livenessChecks.check(current, at, connection);
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
