import type {
	SubjectObservation,
	WaitingRequests,
} from './subject-observation.js';

/** Fraction of its latency target that a request may wait for capacity: the gateways count a waiting request as late from then on. */
export const allowedWaitFraction = 0.5;

/** Time for which the queue of a less urgent rank must last before servers are ordered for it, as a fraction of the boot time. A shorter burst is over before a server that was ordered for it serves, and that server would be billed for nothing. */
export const lessUrgentBootFraction = 0.25;

/** Time in milliseconds for which a queue may be short without counting as cleared; it covers two decisions. */
const minGapMs = 2000;

type Episode = {readonly since: number; lastAt: number};

/** Tracks, by rank, for how long waiting requests have been about to miss their latency targets. */
export class QueuePressure {
	readonly #episodes = new Map<number, Episode>();

	clear(): void {
		this.#episodes.clear();
	}

	/** Slots that are lacking for requests that keep missing their targets; `capacity` is the number of slots that serve now. */
	missingSlots(
		{waiting, occupancyMs, limits}: SubjectObservation,
		capacity: number,
		now: number,
	): number {
		let ahead = 0;
		let missing = 0;
		for (const requests of waiting.toSorted((a, b) => a.rank - b.rank)) {
			const {rank, count, objectiveMs} = requests;
			const allowedMs = Math.max(1, objectiveMs * allowedWaitFraction);
			const slotMs = occupancyMs ?? objectiveMs;
			ahead += count;
			const expectedMs =
				capacity > 0 ? (ahead * slotMs) / capacity : Number.POSITIVE_INFINITY;
			const isPressing =
				count > 0 && Math.max(expectedMs, requests.longestWaitMs) > allowedMs;
			const lastedMs = this.#lastedMs(requests, isPressing, now);
			const confirmMs =
				rank === 0
					? allowedMs
					: Math.max(allowedMs, limits.bootMs * lessUrgentBootFraction);
			if (isPressing && lastedMs >= confirmMs) {
				// So many could not be served of those that arrived since the first of them.
				const arrivalsMs = Math.max(allowedMs, requests.longestWaitMs);
				missing += (count * slotMs) / arrivalsMs;
			}
		}

		this.#forgetOthers(waiting, now);
		return missing;
	}

	/** Time for which requests of a rank have been about to miss their targets, in milliseconds. */
	#lastedMs(
		{rank, objectiveMs}: WaitingRequests,
		isPressing: boolean,
		now: number,
	): number {
		const gapMs = Math.max(minGapMs, objectiveMs);
		let episode = this.#episodes.get(rank);
		if (episode && now - episode.lastAt > gapMs) {
			this.#episodes.delete(rank);
			episode = undefined;
		}

		if (!isPressing) {
			return 0;
		}

		if (!episode) {
			episode = {since: now, lastAt: now};
			this.#episodes.set(rank, episode);
		}

		episode.lastAt = now;
		return now - episode.since;
	}

	/** Drops the ranks of which nothing has waited for a while. */
	#forgetOthers(waiting: readonly WaitingRequests[], now: number): void {
		const ranks = new Set(waiting.map(({rank}) => rank));
		for (const [rank, {lastAt}] of this.#episodes) {
			if (!ranks.has(rank) && now - lastAt > minGapMs) {
				this.#episodes.delete(rank);
			}
		}
	}
}
