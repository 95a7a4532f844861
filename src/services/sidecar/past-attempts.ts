/** Time for which a forgotten attempt, or one cancelled before it arrived, is remembered, in milliseconds. */
export const retentionMs = 60_000;

/** Part of the retention time reserved for messages in transit, in milliseconds. */
const transitAllowanceMs = 10_000;

type PastAttempt = {
	readonly execution: 'ran' | 'not_run';
	readonly until: number;
};

/** Remembers which attempts of this incarnation ran and which will never run. */
export class PastAttempts {
	/** In order of expiry, since all are kept for the same time. */
	readonly #attempts = new Map<string, PastAttempt>();

	get size(): number {
		return this.#attempts.size;
	}

	add(attempt: string, execution: PastAttempt['execution'], now: number): void {
		this.#attempts.delete(attempt);
		this.#attempts.set(attempt, {execution, until: now + retentionMs});
	}

	/**
	 * Whether an attempt that is no longer tracked ran. One that was sent recently
	 * and is not remembered never arrived; an older one may have been forgotten.
	 */
	executionOf(
		attempt: string,
		ageMs: number | undefined,
	): 'ran' | 'not_run' | 'unknown' {
		const past = this.#attempts.get(attempt);
		if (past) {
			return past.execution;
		}

		return ageMs !== undefined && ageMs < retentionMs - transitAllowanceMs
			? 'not_run'
			: 'unknown';
	}

	/** Whether an attempt that arrives now must not run. */
	has(attempt: string): boolean {
		return this.#attempts.has(attempt);
	}

	advance(now: number): void {
		for (const [attempt, {until}] of this.#attempts) {
			if (until > now) {
				return;
			}

			this.#attempts.delete(attempt);
		}
	}
}
