import type {Prompt} from '../../interfaces/index.js';
import type {Upstream} from './upstream.js';

/** Minimum ratio of decoding time to prefill time for which a run is replicated to a second engine: the answer must take long compared with the transfer. */
const minGenerationFactor = 10;

/** Time to decode one token of an answer, in milliseconds, with half of the slots of a batching engine taken. */
const decodeMsPerToken = 7;

/** Prompt tokens that such an engine prefills in a millisecond. */
const prefillTokensPerMs = 50;

/**
 * Chooses the engine that keeps a replica of a run's KV cache and continues the
 * run when its engine is lost; undefined when there is none or the run is short.
 * Needed when an engine crashes during a long answer that must not be repeated:
 * a caller that has a part of the answer would lose it.
 */
export function backupFor(
	prompt: Prompt,
	upstream: Upstream,
	serving: readonly Upstream[],
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

	const {dataCentre} = upstream.listed;
	let best: Upstream | undefined;
	let bestRank = Number.POSITIVE_INFINITY;
	for (const other of serving) {
		const {health, listed} = other;
		if (
			other === upstream ||
			health.isOnTrial ||
			other.unavailableMs(now) > 0
		) {
			continue;
		}

		// Engines of one data centre may fail together.
		const isSameDataCentre = listed.dataCentre === dataCentre;
		const rank =
			Number(isSameDataCentre) + other.running(now) / (listed.slots + 1);
		if (rank < bestRank) {
			best = other;
			bestRank = rank;
		}
	}

	return best;
}
