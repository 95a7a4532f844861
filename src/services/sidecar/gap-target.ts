/** Time for which a class counts after its last request, in milliseconds. */
const memoryMs = 30_000;

/** Tightest gap target among the classes seen lately. */
export class GapTarget {
	readonly #seen = new Map<string, {gapMs: number; at: number}>();

	note(requestClass: string, gapMs: number, now: number): void {
		this.#seen.set(requestClass, {gapMs, at: now});
	}

	/** Milliseconds; infinite when no class was seen. */
	tightest(now: number): number {
		let tightest = Infinity;
		for (const [requestClass, {gapMs, at}] of this.#seen) {
			if (now - at > memoryMs) {
				this.#seen.delete(requestClass);
			} else {
				tightest = Math.min(tightest, gapMs);
			}
		}

		return tightest;
	}
}
