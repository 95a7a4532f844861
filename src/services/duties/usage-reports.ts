import * as z from 'zod';
import type {UsageReport} from '../../interfaces/ports/index.js';
import type {CarriedCounts, Counts, UsageCounts} from './usage-counts.js';

/** Time after the end of a window at which it is settled if every gateway that counted in it has closed it, in milliseconds; a gateway closes its counts 0.7 s after the end and sends them within 0.25 s. */
const settleMs = 1000;

/** The same if one has not, in milliseconds; it may be stalled or gone, and the report is due after 10 s. */
const maxSettleMs = 3000;

/** Maximum number of windows settled in one write. */
const maxSettledAtOnce = 20;

/** Maximum number of settled windows that are kept until they are reported; older ones are given up, so that the row stays small while the platform's API is down. */
const maxUnsent = 60;

/** First and longest delay before a failed call is repeated, in milliseconds. */
const minRetryMs = 500;
const maxRetryMs = 8000;

/** Longest time that the API's own wish delays the next call, in milliseconds. */
const maxRetryAfterMs = 30_000;

const counts = z.record(z.string(), z.number().int().nonnegative());

const usageState = z.object({
	/** Era in which this state was written. */
	era: z.number().int(),
	/** First window that is not settled. */
	next: z.number().int().nonnegative(),
	/** Settled windows that are not known to have been reported. */
	unsent: z.array(z.object({window: z.number().int(), counts})),
	/** Counts of windows that are not settled, for a new holder that has none. */
	open: z.array(
		z.object({
			window: z.number().int(),
			counts,
			sources: z.array(z.string()),
		}),
	),
});

/** State of the duty in its row. */
export type UsageState = z.infer<typeof usageState>;

/** What a new holder knows about how it became one. */
export type UsageTakeover = {
	readonly era: number;
	/** True time at which this process first saw the era, in milliseconds. */
	readonly eraSeenAt: number;
	/** The store was restored while this process ran. */
	readonly hasSeenEraChange: boolean;
	/** This process held the duty at that moment, so it knows all windows settled before. */
	readonly heldAtEraChange: boolean;
	/** There was no row: nobody has held the duty before, or a restore has removed it. */
	readonly isNewRow: boolean;
};

/** Number of windows that will not be reported, because they may have been reported with counts that are lost. */
export type Skipped = {readonly skipped: number};

/**
 * Reports of the windows' counts to the platform. The counts of a window are decided
 * once, by a write of the duty's row, and only what the row holds is sent; so whoever
 * repeats a report repeats the same counts.
 */
export class UsageReports {
	readonly #counts: UsageCounts;
	readonly #startedAt: () => number;
	/** State that the row is known to hold, or in a new era what replaces it. */
	#state: UsageState | undefined;
	/** Counts that an earlier holder stored for windows that were open. */
	#carried = new Map<number, CarriedCounts>();
	/** Windows whose report was accepted while this process held the duty. */
	readonly #accepted = new Set<number>();
	readonly #attempts = new Map<number, number>();
	#retryAt = Number.NEGATIVE_INFINITY;
	#failures = 0;

	constructor(
		usageCounts: UsageCounts,
		/** True time at which this process began to count, in milliseconds; it is corrected as clocks are compared. */
		startedAt: () => number,
	) {
		this.#counts = usageCounts;
		this.#startedAt = startedAt;
	}

	/** Settled windows that are not known to have been reported. */
	get unsentCount(): number {
		return this.#unsent().length;
	}

	/** First window that is not settled; undefined before this process has held the duty. */
	get next(): number | undefined {
		return this.#state?.next;
	}

	/** State for a row without one. */
	initialState(takeover: UsageTakeover, now: number): UsageState {
		const {era, eraSeenAt, hasSeenEraChange, heldAtEraChange, isNewRow} =
			takeover;
		if (hasSeenEraChange) {
			return heldAtEraChange && this.#state
				? {...this.#state, unsent: this.#unsent(), era}
				: this.#emptyState(era, eraSeenAt);
		}

		return this.#emptyState(era, isNewRow ? this.#startedAt() : now);
	}

	/** Takes over the state in the row of a lease that was just acquired. */
	adopt(rowState: unknown, takeover: UsageTakeover, now: number): Skipped {
		const {era, eraSeenAt, heldAtEraChange} = takeover;
		const {data: stored} = usageState.safeParse(rowState);
		let state = stored ?? this.initialState(takeover, now);
		let skipped = 0;
		if (state.era < era) {
			const own = heldAtEraChange ? this.#state : undefined;
			const next = Math.max(
				state.next,
				own?.next ?? this.#counts.windowOf(eraSeenAt),
			);
			skipped = own ? 0 : next - state.next;
			const unsent = own ? this.#unsent() : [];
			state = {
				era,
				next,
				unsent: [
					...state.unsent.filter(
						({window}) => !unsent.some((found) => found.window === window),
					),
					...unsent,
				].toSorted((a, b) => a.window - b.window),
				open: state.open.filter(({window}) => window >= next),
			};
		}

		this.#state = state;
		this.#carried = new Map(
			state.open.map(({window, ...carried}) => [window, carried]),
		);
		this.#attempts.clear();
		this.#failures = 0;
		this.#retryAt = Number.NEGATIVE_INFINITY;
		return {skipped};
	}

	/** The row is known to hold a state that this process has composed. */
	acknowledge(rowState: unknown): void {
		this.#state = usageState.safeParse(rowState).data ?? this.#state;
	}

	/** Whether a write of the row would settle a window. */
	canSettle(now: number): boolean {
		return this.#state !== undefined && this.#isOver(this.#state.next, now);
	}

	/** State for the next write of the row. */
	compose(now: number): {state: UsageState; givenUp: number} {
		const {era, next: first} = this.#state!;
		const settled: UsageReport[] = [];
		let next = first;
		while (settled.length < maxSettledAtOnce && this.#isOver(next, now)) {
			settled.push({
				window: next,
				counts: this.#counts.total(next, this.#carried.get(next)),
			});
			next++;
		}

		const unsent = [...this.#unsent(), ...settled];
		const givenUp = Math.max(0, unsent.length - maxUnsent);
		return {
			state: {
				era,
				next,
				unsent: unsent.slice(givenUp),
				open: this.#open(next),
			},
			givenUp,
		};
	}

	/** Report to send now; undefined when there is none, or a repetition must wait. `now` is the monotonic time in milliseconds. */
	due(now: number): (UsageReport & {readonly attempt: number}) | undefined {
		if (now < this.#retryAt) {
			return undefined;
		}

		let chosen: (UsageReport & {attempt: number}) | undefined;
		for (const report of this.#unsent()) {
			const attempt = (this.#attempts.get(report.window) ?? 0) + 1;
			// One that the API refuses again and again does not hold up the others.
			if (attempt < (chosen?.attempt ?? Number.POSITIVE_INFINITY)) {
				chosen = {...report, attempt};
			}
		}

		return chosen;
	}

	accepted(window: number): void {
		this.#accepted.add(window);
		this.#attempts.delete(window);
		this.#failures = 0;
		// Windows that can still be in the state.
		for (const old of [...this.#accepted].slice(0, -4 * maxUnsent)) {
			this.#accepted.delete(old);
		}
	}

	/** A report was refused or had no answer; it may have been accepted. */
	failed(window: number, now: number, retryAfterMs = 0): void {
		this.#attempts.set(window, (this.#attempts.get(window) ?? 0) + 1);
		const delayMs = Math.min(maxRetryMs, minRetryMs * 2 ** this.#failures);
		this.#failures++;
		this.#retryAt =
			now + Math.max(delayMs, Math.min(maxRetryAfterMs, retryAfterMs));
	}

	#unsent(): UsageReport[] {
		return (
			this.#state?.unsent.filter(({window}) => !this.#accepted.has(window)) ??
			[]
		);
	}

	#isOver(window: number, now: number): boolean {
		const sinceEndMs = now - this.#counts.endOf(window);
		return (
			sinceEndMs >= maxSettleMs ||
			(sinceEndMs >= settleMs && this.#counts.isClosed(window, now))
		);
	}

	#open(next: number): UsageState['open'] {
		const windows = new Set([
			...this.#counts.windows(),
			...this.#carried.keys(),
		]);
		return [...windows]
			.filter((window) => window >= next)
			.toSorted((a, b) => a - b)
			.slice(-3)
			.map((window) => {
				const carried = this.#carried.get(window);
				return {
					window,
					counts: {...(this.#counts.total(window, carried) satisfies Counts)},
					sources: this.#counts.sources(window, carried),
				};
			});
	}

	#emptyState(era: number, from: number): UsageState {
		return {era, next: this.#counts.windowOf(from), unsent: [], open: []};
	}
}
