import {hash32, mix32} from '../../base/index.js';
import type {Prompt} from '../../interfaces/index.js';
import type {Upstream} from './upstream.js';

/** Minimum ratio of decoding time to prefill time for which a run is replicated to a second engine: the answer must take long compared with the transfer. */
const minGenerationFactor = 10;

/** Time to decode one token of an answer, in milliseconds, with half of the slots of a batching engine taken. */
const decodeMsPerToken = 7;

/** Prompt tokens that such an engine prefills in a millisecond. */
const prefillTokensPerMs = 50;

/** Engines among which the least loaded one gets the replica of a run. With two choices, each run's own, load is balanced without all gateways choosing the same engine. */
const choices = 2;

/**
 * Chooses the engine that keeps a replica of a run's KV cache and continues the
 * run when its engine is lost; undefined when there is none or the run is short.
 * Needed when an engine crashes during a long answer that must not be repeated:
 * a caller that has a part of the answer would lose it. The runs of one engine
 * get replicas on many others, so that these have room when it fails.
 */
export function backupFor(
	prompt: Prompt,
	upstream: Upstream,
	serving: readonly Upstream[],
	requestId: string,
	now: number,
): Upstream | undefined {
	const generationMs = prompt.outputTokens * decodeMsPerToken;
	const prefillMs = prompt.promptTokens / prefillTokensPerMs;
	if (
		!upstream.transfer?.keepsBackups ||
		generationMs < prefillMs * minGenerationFactor
	) {
		return undefined;
	}

	const available = serving.filter(
		(other) =>
			other !== upstream &&
			!other.health.isOnTrial &&
			other.unavailableMs(now) === 0,
	);
	// Engines of one data centre may fail together.
	const elsewhere = available.filter(
		({listed}) => listed.dataCentre !== upstream.listed.dataCentre,
	);
	const runHash = hash32(requestId);
	const [best] = (elsewhere.length > 0 ? elsewhere : available)
		.map((other) => ({other, score: mix32(runHash, other.key)}))
		.toSorted((a, b) => b.score - a.score)
		.slice(0, choices)
		.toSorted((a, b) => load(a.other, now) - load(b.other, now));
	return best?.other;
}

/** Requests in progress for each slot. */
function load(upstream: Upstream, now: number): number {
	return upstream.running(now) / Math.max(1, upstream.listed.slots);
}
