import type {Prompt} from '../../interfaces/index.js';
import type {Upstream} from './upstream.js';

/** Least time to generate an answer, as a multiple of the time to read its prompt, for which the run is copied to a second engine: what may be lost must be long against what is copied. */
const leastGenerationFactor = 10;

/** Time of one token of an answer, in milliseconds, with half of the slots of a batching engine taken. */
const tokenMs = 7;

/** Prompt tokens that such an engine reads in a millisecond. */
const readingTokensPerMs = 50;

/**
 * Engine that keeps a copy of a run, so that another engine can go on where the
 * first one was lost. Answers crashes of engines that hold long answers which
 * may not be repeated: a caller that has a part of such an answer would lose it.
 */
export function backupFor(
	prompt: Prompt,
	upstream: Upstream,
	serving: readonly Upstream[],
	now: number,
): Upstream | undefined {
	const generationMs = prompt.outputTokens * tokenMs;
	const readMs = prompt.promptTokens / readingTokensPerMs;
	if (
		!upstream.transfer?.keepsBackups ||
		generationMs < readMs * leastGenerationFactor
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
		const isNear = listed.dataCentre === dataCentre;
		const rank = Number(isNear) + other.running(now) / (listed.slots + 1);
		if (rank < bestRank) {
			best = other;
			bestRank = rank;
		}
	}

	return best;
}
