import {hash32, mix32} from '../../base/index.js';
import type {Prompt} from '../../interfaces/index.js';
import type {EngineLosses} from './engine-losses.js';
import type {Upstream} from './upstream.js';

/** Minimum ratio of decoding time to prefill time for which a run is replicated to a second engine: the answer must take long compared with the transfer. */
const minGenerationFactor = 10;

/** Time to decode one token of an answer, in milliseconds, with half of the slots of a batching engine taken. */
const decodeMsPerToken = 7;

/** Prompt tokens that such an engine prefills in a millisecond. */
const prefillTokensPerMs = 50;

/** Minimum probability of the loss of a run for which it is replicated: the price of a copy in the own data centre as a fraction of that of a lost answer. */
const minLossProbability = 0.003;

/** Engines among which the least loaded one gets the replica of a run. With two choices, each run's own, load is balanced without all gateways choosing the same engine. */
const choices = 2;

/** Run of a request that may be replicated. */
export type Run = {readonly prompt: Prompt; readonly requestId: string};

/**
 * Chooses the engine that keeps a replica of a run's KV cache and continues the
 * run when its engine is lost; undefined when there is none or the run is short.
 * Needed when an engine crashes during a long answer that must not be repeated:
 * a caller that has a part of the answer would lose it. The runs of one engine
 * get replicas on many others, so that these have room when it fails. A copy to
 * another data centre moves megabytes that are billed, so the replica stays in
 * the own one unless that one seems to fail as a whole.
 */
export function backupFor(
	{prompt, requestId}: Run,
	upstream: Upstream,
	serving: readonly Upstream[],
	losses: EngineLosses,
	now: number,
): Upstream | undefined {
	const generationMs = prompt.outputTokens * decodeMsPerToken;
	const prefillMs = prompt.promptTokens / prefillTokensPerMs;
	if (
		!upstream.transfer?.keepsBackups ||
		generationMs < prefillMs * minGenerationFactor ||
		losses.probability(generationMs, serving.length, now) < minLossProbability
	) {
		return undefined;
	}

	const available = serving.filter(
		(other) =>
			other !== upstream &&
			!other.health.isOnTrial &&
			other.unavailableMs(now) === 0,
	);
	const {dataCentre} = upstream.listed;
	const engines = serving.filter(
		({listed}) => listed.dataCentre === dataCentre,
	).length;
	const isFailing = losses.areIn(dataCentre, engines, now);
	const near = available.filter(({listed}) => listed.dataCentre === dataCentre);
	const elsewhere = available.filter((other) => !near.includes(other));
	const candidates = isFailing && elsewhere.length > 0 ? elsewhere : near;
	const runHash = hash32(requestId);
	const [best] = candidates
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
