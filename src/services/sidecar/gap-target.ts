/** Time for which the target of a class applies after its last request, in milliseconds. */
const retentionMs = 30_000;

/** Tightest gap target of the classes with recent requests. */
export class GapTarget {
	readonly #classes = new Map<string, {gapMs: number; at: number}>();

	recordRequest(requestClass: string, gapMs: number, now: number): void {
		this.#classes.set(requestClass, {gapMs, at: now});
	}

	/** In milliseconds; infinite when no class had a recent request. */
	tightestMs(now: number): number {
		let tightestMs = Infinity;
		for (const [requestClass, {gapMs, at}] of this.#classes) {
			if (now - at > retentionMs) {
				this.#classes.delete(requestClass);
			} else {
				tightestMs = Math.min(tightestMs, gapMs);
			}
		}

		return tightestMs;
	}
}
