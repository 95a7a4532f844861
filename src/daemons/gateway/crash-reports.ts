import type {PromptPart} from '../../interfaces/index.js';
import type {
	CrashSuspects,
	EndpointSet,
	Upstream,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
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
	/** Keys of the parts of its prompt that other requests may share. */
	readonly partKeys: readonly number[];
	readonly parts: readonly PromptPart[];
	/** Time at which its connection ended, in milliseconds of the monotonic clock. */
	readonly at: number;
	/** It ended because its engine had been judged to be gone. */
	readonly isEngineGone: boolean;
};

/** Bounds of the prompt parts in a log line: callers choose their number and length. */
const maxLoggedParts = 8;
const maxLoggedIdLength = 32;

/** Records the prompt parts of unanswered requests once it is known that their engine has crashed, and not only lost a connection. */
export class CrashReports {
	readonly #options: CrashReportsOptions;

	constructor(options: CrashReportsOptions) {
		this.#options = options;
	}

	/** Handles a request whose engine closed the connection or went silent before it had begun to answer; never rejects. */
	async recordUnanswered(
		upstream: Upstream,
		{requestId, partKeys, parts, at, isEngineGone}: UnansweredRequest,
	): Promise<void> {
		const {crashSuspects, notices, log, metrics} = this.#options;
		if (
			partKeys.length === 0 ||
			upstream.isLeaving ||
			!(isEngineGone || (await this.#hasCrashed(upstream)))
		) {
			return;
		}

		const startedAt = upstream.listed.startedAt ?? 0;
		if (crashSuspects.recordCrash(upstream.key, startedAt, partKeys, at)) {
			metrics.crashSuspected(upstream.listed.service);
			log.info('crash_suspects', {
				endpoint: upstream.id,
				request: requestId,
				parts: loggedParts(parts),
			});
			notices.sendCrashesSoon();
			this.#options.onDidChangeSuspects();
		}
	}

	/** Records that an engine has begun an answer on the parts and has not crashed. */
	recordSurvival(partKeys: readonly number[], now: number): void {
		if (this.#options.crashSuspects.recordSurvival(partKeys, now)) {
			this.#options.notices.sendCrashesSoon();
			this.#options.onDidChangeSuspects();
		}
	}

	/** Records that a request of this gateway probes the parts. */
	beginProbe(partKeys: readonly number[], now: number): void {
		this.#options.crashSuspects.beginProbe(partKeys, now);
		this.#options.notices.sendCrashesSoon();
	}

	/** Resolves to whether the incarnation of an engine has ended. */
	async #hasCrashed(upstream: Upstream): Promise<boolean> {
		const {endpoints, livenessChecks} = this.#options;
		if (!endpoints.has(upstream)) {
			return true;
		}

		const liveness = await livenessChecks.check(upstream, monotonicNow());
		return liveness.type === 'gone';
	}
}

/** Ids of a prompt's parts for a log line. */
export function loggedParts(parts: readonly PromptPart[]): string {
	return parts
		.slice(0, maxLoggedParts)
		.map(({id}) => id.slice(0, maxLoggedIdLength))
		.join(',');
}
