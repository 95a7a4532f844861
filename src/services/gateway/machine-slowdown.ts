/** Age in milliseconds at which a figure is worth about a third: the slowdown of a machine changes several times a second. */
const worthDecayMs = 200;

/** Weight of a figure in the mean when it is independent of the one before. */
const meanWeight = 0.1;

/** Bounds of a figure that is used; one beyond them is more likely an error than a machine that still serves. */
const minSlowdown = 0.2;
const maxSlowdown = 10;

/** Slowdown of a machine in its usual state. */
const usualSlowdown = 1;

type Figure = {readonly value: number; readonly at: number};

/**
 * How long work takes at present on the machine of an endpoint, relative to its
 * usual duration, from the figures in its answers. A figure loses its worth
 * within a few hundred milliseconds, after which the mean of the earlier ones is
 * the best estimate.
 */
export class MachineSlowdown {
	#latest: Figure | undefined;
	#mean = usualSlowdown;

	/** Whether the endpoint has ever stated a figure; without one nothing is estimated. */
	get isReported(): boolean {
		return this.#latest !== undefined;
	}

	/** Records the figure of an answer that arrived at `now`, in milliseconds. */
	record(figure: number, now: number): void {
		const value = Math.min(maxSlowdown, Math.max(minSlowdown, figure));
		// Figures that follow one another closely describe the same state.
		const weight = meanWeight * (1 - worth(this.ageMs(now)));
		this.#mean += weight * (value - this.#mean);
		this.#latest = {value, at: now};
	}

	/** Age of the latest figure, in milliseconds; infinite when there is none. */
	ageMs(now: number): number {
		return now - (this.#latest?.at ?? Number.NEGATIVE_INFINITY);
	}

	/** Expected slowdown when nothing recent is known. */
	get mean(): number {
		return this.#mean;
	}

	/** Expected slowdown at `now`: the latest figure as far as its age leaves it any worth, and the mean for the rest. */
	at(now: number): number {
		return this.#latest
			? this.#mean + worth(this.ageMs(now)) * (this.#latest.value - this.#mean)
			: usualSlowdown;
	}
}

/** Fraction of a figure's difference from the mean that is left at an age in milliseconds. */
export function worth(ageMs: number): number {
	return Math.exp(-Math.max(0, ageMs) / worthDecayMs);
}
