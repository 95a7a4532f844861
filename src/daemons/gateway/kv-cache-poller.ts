import type {Disposable} from '../../base/index.js';
import type {EndpointSet, Upstream} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import {probeEngine, type EngineProbeContext} from './engine-probe.js';

/** Time between two probes of an engine, in milliseconds; its KV cache fills over seconds. */
const pollIntervalMs = 400;

/** Timeout of a probe, in milliseconds. */
const probeTimeoutMs = 400;

/** Fraction of an engine's slots that must be in use for it to be probed; with fewer its KV cache is not short. */
const minBusySlotsFraction = 0.2;

export type KvCachePollerOptions = {
	readonly endpoints: EndpointSet;
	readonly probeContext: EngineProbeContext;
	/** Whether this gateway owns an engine and grants its capacity. */
	readonly owns: (upstream: Upstream) => boolean;
};

/** Task that polls the KV cache usage of the engines that this gateway owns. */
export class KvCachePoller implements Disposable {
	readonly #options: KvCachePollerOptions;
	#timer: NodeJS.Timeout | undefined;

	constructor(options: KvCachePollerOptions) {
		this.#options = options;
	}

	start(): void {
		this.#timer = setInterval(() => {
			const now = monotonicNow();
			const {endpoints, owns} = this.#options;
			for (const upstream of endpoints.all()) {
				if (
					upstream.kvCacheUsage !== undefined &&
					upstream.running(now) >=
						upstream.listed.slots * minBusySlotsFraction &&
					owns(upstream)
				) {
					void this.#poll(upstream);
				}
			}
		}, pollIntervalMs);
	}

	dispose(): void {
		clearInterval(this.#timer);
	}

	async #poll(upstream: Upstream): Promise<void> {
		const sentAt = monotonicNow();
		const outcome = await probeEngine(upstream, this.#options.probeContext, {
			isNewConnection: false,
			timeoutMs: probeTimeoutMs,
		});
		if (outcome.type === 'answered' && outcome.report) {
			upstream.kvCacheUsage?.report(outcome.report, sentAt);
		}
	}
}
