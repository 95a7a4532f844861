/** Share of a warm server's capacity that a server which has just started has. */
const warmingShare = 0.5;

/** Time without pressure in which the learned capacity doubles, in milliseconds: long enough that a lasting limit is not tried out again in each wave. */
const relearnMs = 300_000;

/** Least requests at once that one server is assumed to run in time. */
const minSlots = 0.5;

/** Servers that take requests, in warm ones. */
export function servingServers({
	ready,
	warming,
}: {
	readonly ready: number;
	readonly warming: number;
}): number {
	return ready + warming * warmingShare;
}

/**
 * Requests that one server can run at once so that others do not wait too long.
 * At most its slots; fewer when requests waited although slots were free, as at
 * an engine that is still reading prompts.
 */
export class ServerCapacity {
	#learned: number | undefined;
	#learnedAt = 0;

	slots(stated: number, now: number): number {
		if (this.#learned === undefined) {
			return Math.max(minSlots, stated);
		}

		const regained = 2 ** ((now - this.#learnedAt) / relearnMs);
		return Math.max(minSlots, Math.min(stated, this.#learned * regained));
	}

	/** Records the requests that ran at each server while others waited too long. */
	recordPressure(runningAtEach: number, stated: number, now: number): void {
		this.#learned = Math.max(
			minSlots,
			Math.min(runningAtEach, this.slots(stated, now)),
		);
		this.#learnedAt = now;
	}

	/** Records the requests that ran at each server while none waited too long. */
	recordCalm(runningAtEach: number, stated: number, now: number): void {
		if (
			this.#learned !== undefined &&
			runningAtEach > this.slots(stated, now)
		) {
			this.#learned = Math.min(runningAtEach, stated);
			this.#learnedAt = now;
		}
	}
}
