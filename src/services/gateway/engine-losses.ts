/** Time in milliseconds after the loss of an answer during which more are expected: engine faults come in groups. */
const lossWindowMs = 30_000;

/** Fraction of the engines of a data centre that must have lost answers for the data centre itself to count as failing. */
const failingFraction = 0.25;

/** Engine that lost an answer. */
export type LostEngine = {
	readonly key: number;
	readonly dataCentre: string;
};

/** Stands for an engine of which nothing is known. */
const unknownEngine: LostEngine = {key: -1, dataCentre: ''};

/** Tracks when engines of one service last lost an answer in progress. Handles faults that hit several engines one after the other. */
export class EngineLosses {
	/** Engines that lost answers within the window, with the time of the last one. */
	readonly #lost = new Map<
		number,
		{readonly engine: LostEngine; readonly at: number}
	>();

	/** Records that an engine aborted an answer or stopped sending it. */
	recordLoss(now: number, engine = unknownEngine): void {
		this.#lost.set(engine.key, {engine, at: now});
	}

	areLikely(now: number): boolean {
		return this.#recent(now).length > 0;
	}

	/** Probability that an answer of the given duration in milliseconds is lost, when as many of the engines fail in the next window as in the last one. */
	probability(durationMs: number, engines: number, now: number): number {
		const lost = this.#recent(now).length;
		return (
			(lost / Math.max(1, engines, lost)) *
			Math.min(1, durationMs / lossWindowMs)
		);
	}

	/** Whether a data centre with so many engines seems to fail as a whole: several of them lost answers, or its only one. */
	areIn(dataCentre: string, engines: number, now: number): boolean {
		const lost = this.#recent(now).filter(
			(engine) => engine.dataCentre === dataCentre,
		).length;
		return (
			lost >= Math.min(2, Math.max(1, engines)) &&
			lost >= engines * failingFraction
		);
	}

	#recent(now: number): LostEngine[] {
		for (const [key, {at}] of this.#lost) {
			if (now - at >= lossWindowMs) {
				this.#lost.delete(key);
			}
		}

		return [...this.#lost.values()].map(({engine}) => engine);
	}
}
