import {
	judgeLiveness,
	withReceivedData,
	maxPauseMs,
	type Alive,
	type ConnectionState,
	type Gone,
	type ProbeOutcome,
	type Silent,
	type Upstream,
} from '../../services/gateway/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import type {EngineProbeOptions} from './engine-probe.js';

/** Time after which a probe that failed is repeated for the first time, in milliseconds: an engine that crashes may have accepted its connection, and would not be known to have crashed before the next request is sent. */
const firstRepeatMs = 50;

/** Time after which it is repeated again, in milliseconds: an engine may close it because it has too many connections. */
const repeatMs = 400;

/** Minimum timeout of a probe, in milliseconds. */
const minProbeMs = 400;

/** Timeout of a probe on an idle connection, in milliseconds: a sound engine answers in a few, and one that has failed must not be noticed much later. */
const idleProbeMs = 100;

/** Time within which a sound endpoint usually answers a probe, in milliseconds; a later answer is logged. */
const usualAnswerMs = 400;

export type LivenessChecksOptions = {
	/** Requests the state of an engine; never rejects. */
	readonly probe: (
		upstream: Upstream,
		options: EngineProbeOptions,
	) => Promise<ProbeOutcome>;
	/** Whether a probe of an engine would find an idle connection. */
	readonly hasIdle: (upstream: Upstream) => boolean;
	readonly delay: (ms: number) => Promise<unknown>;
	readonly log: Log;
	/** Resolves when all data that has arrived has been read: after a pause of this process, the timers of probes run before sockets are read. */
	readonly readSockets: () => Promise<void>;
};

/** Result of a check. */
export type CheckedLiveness = Alive | Gone | Silent;

type Check = {
	/** On the monotonic clock, in milliseconds. */
	readonly startedAt: number;
	readonly result: Promise<CheckedLiveness>;
};

/** Finds out whether silent engines are alive. One check at a time serves all requests at an engine whose connections are open, and one those whose connections were closed. */
export class LivenessChecks {
	readonly #options: LivenessChecksOptions;
	readonly #checks: Readonly<Record<ConnectionState, Map<Upstream, Check>>> = {
		open: new Map(),
		closed: new Map(),
	};

	constructor(options: LivenessChecksOptions) {
		this.#options = options;
	}

	/** Resolves once it is known whether an engine that has sent nothing since `silentSince`, on the monotonic clock, is alive, or that it has been silent for longer than one that pauses; never rejects. A check that began before then may have been answered by an engine that has ended since. */
	async check(
		upstream: Upstream,
		silentSince: number,
		connection: ConnectionState,
	): Promise<CheckedLiveness> {
		const checks = this.#checks[connection];
		const earlier = checks.get(upstream);
		if (earlier) {
			const liveness = await earlier.result;
			return earlier.startedAt >= silentSince || liveness.type === 'gone'
				? liveness
				: this.check(upstream, silentSince, connection);
		}

		const result = this.#check(upstream, silentSince, connection);
		checks.set(upstream, {startedAt: monotonicNow(), result});
		try {
			return await result;
		} finally {
			checks.delete(upstream);
		}
	}

	async #check(
		upstream: Upstream,
		silentSince: number,
		connection: ConnectionState,
	): Promise<CheckedLiveness> {
		const startedAt = monotonicNow();
		const liveness =
			(await this.#probeIdle(upstream, connection)) ??
			(await this.#probe(upstream, silentSince, connection));
		const now = monotonicNow();
		const silentMs = Math.round(now - silentSince);
		const {log} = this.#options;
		const endpoint = upstream.id;
		switch (liveness.type) {
			case 'gone': {
				const {cause} = liveness;
				log.info('endpoint_gone', {
					endpoint,
					cause,
					silent_ms: silentMs,
					connection,
				});
				break;
			}

			case 'silent': {
				upstream.recordCheckedSilent(now);
				log.info('endpoint_silent', {
					endpoint,
					silent_ms: silentMs,
					connection,
				});
				break;
			}

			case 'alive': {
				upstream.recordCheckedAlive(now);
				if (now - startedAt > usualAnswerMs) {
					log.info('endpoint_was_silent', {endpoint, silent_ms: silentMs});
				}

				break;
			}
		}

		return liveness;
	}

	/** Probes an engine whose streams are silent on an idle connection first, as most such engines are alive and a check of each would open two connections. Resolves to undefined unless it answers that it is alive. */
	async #probeIdle(
		upstream: Upstream,
		connection: ConnectionState,
	): Promise<Alive | undefined> {
		const {probe, hasIdle} = this.#options;
		if (connection === 'closed' || !hasIdle(upstream)) {
			return undefined;
		}

		const outcome = await probe(upstream, {
			isNewConnection: false,
			timeoutMs: idleProbeMs,
		});
		const judged = judgeLiveness([outcome], {
			startedAt: upstream.listed.startedAt,
			silentMs: 0,
			connection,
			isLeaving: upstream.isLeaving,
		});
		return judged.type === 'alive' ? judged : undefined;
	}

	/** Sends two probes at once, because the first packet of a connection may be lost, and repeats each one that fails. */
	async #probe(
		upstream: Upstream,
		silentSince: number,
		connection: ConnectionState,
	): Promise<CheckedLiveness> {
		const {probe, delay, readSockets} = this.#options;
		const startedAt = monotonicNow();
		const outcomes: ProbeOutcome[] = [{type: 'silent'}, {type: 'silent'}];
		const abort = new AbortController();
		return new Promise((resolve) => {
			const probeRepeatedly = async (index: number) => {
				let pauseMs = firstRepeatMs;
				while (!abort.signal.aborted) {
					const silentMs = this.#silentMs(upstream, silentSince);
					outcomes[index] = await probe(upstream, {
						isNewConnection: true,
						timeoutMs: Math.max(minProbeMs, maxPauseMs - silentMs),
						signal: abort.signal,
					});
					await readSockets();
					const judged = judgeLiveness(outcomes, {
						startedAt: upstream.listed.startedAt,
						silentMs: this.#silentMs(upstream, silentSince),
						connection,
						isLeaving: upstream.isLeaving,
					});
					const hasReceivedData = upstream.lastReceivedAt > startedAt;
					const liveness = withReceivedData(judged, hasReceivedData);
					if (liveness.type !== 'undecided') {
						abort.abort();
						resolve(liveness);
						return;
					}

					await delay(pauseMs);
					pauseMs = repeatMs;
				}
			};

			for (const index of outcomes.keys()) {
				void probeRepeatedly(index);
			}
		});
	}

	/** Time without a sign of life of an engine on any connection, in milliseconds. */
	#silentMs({lastAliveAt}: Upstream, silentSince: number): number {
		return monotonicNow() - Math.max(silentSince, lastAliveAt);
	}
}
