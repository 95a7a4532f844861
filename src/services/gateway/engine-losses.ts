/** Time in milliseconds after the loss of an answer during which more are expected: engine faults come in groups. Replicating every run at all times would cost too many transfers. */
const lossWindowMs = 30_000;

/** Tracks when engines of one service last lost an answer in progress. Handles faults that hit several engines one after the other. */
export class EngineLosses {
	#lastLossAt = Number.NEGATIVE_INFINITY;

	/** Records that an engine aborted an answer or stopped sending it. */
	recordLoss(now: number): void {
		this.#lastLossAt = now;
	}

	areLikely(now: number): boolean {
		return now - this.#lastLossAt < lossWindowMs;
	}
}
