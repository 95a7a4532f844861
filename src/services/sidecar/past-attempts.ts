/** Time for which an attempt that is over, or that was cancelled before it arrived, is remembered, in milliseconds. */
export const memoryMs = 60_000;

/** Part of that time that is left for messages on their way, in milliseconds. */
const transitMs = 10_000;

type Past = {readonly fate: 'ran' | 'not_run'; readonly until: number};

/** Remembers which attempts of this incarnation ran and which will never run. */
export class PastAttempts {
	/** In order of expiry, since each is kept equally long. */
	readonly #items = new Map<string, Past>();

	get size(): number {
		return this.#items.size;
	}

	add(attempt: string, fate: Past['fate'], now: number): void {
		this.#items.delete(attempt);
		this.#items.set(attempt, {fate, until: now + memoryMs});
	}

	/**
	 * Fate of an attempt that is not at hand. One that was sent recently and is
	 * not remembered has never arrived; an older one may have been forgotten.
	 */
	fate(
		attempt: string,
		ageMs: number | undefined,
	): 'ran' | 'not_run' | 'unknown' {
		const past = this.#items.get(attempt);
		if (past) {
			return past.fate;
		}

		return ageMs !== undefined && ageMs < memoryMs - transitMs
			? 'not_run'
			: 'unknown';
	}

	/** Whether an attempt that arrives now must not run. */
	has(attempt: string): boolean {
		return this.#items.has(attempt);
	}

	advance(now: number): void {
		for (const [attempt, {until}] of this.#items) {
			if (until > now) {
				return;
			}

			this.#items.delete(attempt);
		}
	}
}
