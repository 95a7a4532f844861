import type {EngineReport} from '../../interfaces/index.js';

/** Delay in milliseconds until an engine's report includes a request that it was sent. */
const reportLagMs = 300;

/** Age in milliseconds above which reports and reservations are ignored. */
const maxAgeMs = 2000;

/** Fraction of its KV cache up to which an engine gets requests of rank 0, the reduction for each further rank, and the minimum. The rest is left for running answers, which grow: an engine whose KV cache is full preempts them. */
const maxFraction = 0.9;
const fractionStep = 0.08;
const minFraction = 0.7;

/** Tokens of a request that the engine's report doesn't include yet. */
type KvCacheReservation = {readonly tokens: number; readonly at: number};

/** Estimates how much of an engine's KV cache is in use, from its reports and the requests sent since. Needed when long prompts with long answers fill the KV cache before the slots. */
export class KvCacheUsage {
	#report: {readonly report: EngineReport; readonly at: number} | undefined;
	#reservations: KvCacheReservation[] = [];

	/** Applies the engine's latest report and drops the reservations that it includes. */
	report(report: EngineReport, now: number): void {
		this.#report = {report, at: now};
		this.#reservations = this.#reservations.filter(
			({at}) => at > now - reportLagMs,
		);
	}

	/** Reserves tokens of the KV cache for a request that is sent to the engine. */
	reserve(tokens: number, now: number): void {
		this.#reservations = this.#reservations.filter(
			({at}) => at > now - maxAgeMs,
		);
		this.#reservations.push({tokens, at: now});
	}

	/** Whether the KV cache has capacity for the tokens of a request of a rank; true while there is no recent report. */
	hasCapacityFor(tokens: number, rank: number, now: number): boolean {
		if (!this.#report || now - this.#report.at > maxAgeMs) {
			return true;
		}

		const {usedTokens, totalTokens} = this.#report.report;
		const reserved = this.#reservations.reduce(
			(sum, reservation) => sum + reservation.tokens,
			0,
		);
		const fraction = Math.max(minFraction, maxFraction - fractionStep * rank);
		return usedTokens + reserved + tokens <= totalTokens * fraction;
	}
}
