/** Time after the end of a window in which a gateway may still count a request in it, in milliseconds. */
const lateCountMs = 700;

/** Age up to which a window is part of each notice, in milliseconds after its end: a later notice then repairs lost ones. */
const repeatedMs = 2000;

/** Number of past windows that are kept; none is reported later than that. */
const keptWindows = 24;

/** Windows that another gateway, whose clock may be ahead, may have begun. */
const maxWindowsAhead = 1;

/** Maximum number of counts in a notice, so that it fits a datagram. */
const maxCountsPerNotice = 100;

/** Maximum number of workspaces of a source in a window, and of sources in a window; the surplus of an odd sender is ignored. */
const maxWorkspaces = 10_000;
const maxSources = 1000;

export type Counts = Readonly<Record<string, number>>;

/** Cumulative counts of one process. A later notice holds at least what an earlier one did, so it replaces any that were lost. */
export type UsageNotice = {
	/** Identifies the process that has counted. */
	readonly source: string;
	/** The last window in which the process counts nothing more. */
	readonly closedThrough: number;
	readonly windows: ReadonlyArray<{
		readonly window: number;
		readonly counts: ReadonlyArray<readonly [workspace: string, count: number]>;
	}>;
};

/** Counts of a window as an earlier holder has stored them, and the processes that they include. */
export type CarriedCounts = {
	readonly counts: Counts;
	readonly sources: readonly string[];
};

/** Requests that began to run, by window, process and workspace. Times are true times, in milliseconds since 1970. */
export class UsageCounts {
	readonly windowMs: number;
	readonly #source: string;
	readonly #windows = new Map<number, Map<string, Map<string, number>>>();
	readonly #closedThrough = new Map<string, number>();
	#own: {window: number; counts: Map<string, number>} | undefined;
	#hasChanged = false;
	#repeats = 0;
	#noticedThrough = 0;
	#fullNotices = 0;

	constructor(source: string, windowMs: number) {
		this.#source = source;
		this.windowMs = windowMs;
	}

	windowOf(time: number): number {
		return Math.floor(time / this.windowMs);
	}

	endOf(window: number): number {
		return (window + 1) * this.windowMs;
	}

	/** Counts a request of this gateway that began to run at a time; one that began too long ago counts as late as it can. */
	count(workspace: string, beganAt: number, now: number): void {
		const window = this.windowOf(
			Math.min(now, Math.max(beganAt, now - lateCountMs)),
		);
		if (this.#own?.window !== window) {
			this.#own = {window, counts: this.#countsOf(window, this.#source)};
		}

		const {counts} = this.#own;
		counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
		this.#hasChanged = true;
	}

	/** Adds all windows that are kept to the next notices, for a new holder. */
	repeatAll(): void {
		this.#fullNotices = 2;
		this.#hasChanged ||= this.#windows.size > 0;
	}

	/** Notices that are due; to be called at most a few times a second. None are due when nothing has changed since the last ones and those were repeated. */
	takeNotices(now: number): UsageNotice[] {
		const closedThrough = this.#close(now);
		const isClosing =
			closedThrough > this.#noticedThrough &&
			this.#windows.get(closedThrough)?.has(this.#source) === true;
		if (this.#hasChanged || isClosing) {
			this.#repeats = 1;
		} else if (this.#repeats > 0) {
			this.#repeats--;
		} else {
			return [];
		}

		this.#hasChanged = false;
		this.#noticedThrough = closedThrough;
		const isFull = this.#fullNotices > 0;
		this.#fullNotices = Math.max(0, this.#fullNotices - 1);
		const first = isFull ? 0 : this.windowOf(now - repeatedMs);
		const notices: UsageNotice[] = [];
		for (const [window, sources] of this.#windows) {
			const counts =
				window < first ? [] : [...(sources.get(this.#source) ?? [])];
			for (let at = 0; at < counts.length; at += maxCountsPerNotice) {
				notices.push({
					source: this.#source,
					closedThrough,
					windows: [
						{window, counts: counts.slice(at, at + maxCountsPerNotice)},
					],
				});
			}
		}

		return joinSmall(notices);
	}

	/** Merges a notice of another process. Counts only grow, so the order and number of notices do not matter. */
	apply({source, closedThrough, windows}: UsageNotice, now: number): void {
		const current = this.windowOf(now);
		this.#closedThrough.set(
			source,
			Math.max(closedThrough, this.#closedThrough.get(source) ?? 0),
		);
		for (const {window, counts} of windows) {
			const sources = this.#windows.get(window);
			if (
				window <= current - keptWindows ||
				window > current + maxWindowsAhead ||
				(sources && !sources.has(source) && sources.size >= maxSources)
			) {
				continue;
			}

			const known = this.#countsOf(window, source);
			for (const [workspace, count] of counts) {
				if (known.has(workspace) || known.size < maxWorkspaces) {
					known.set(workspace, Math.max(count, known.get(workspace) ?? 0));
				}
			}
		}
	}

	/** Counts of all processes in a window, with those that an earlier holder has stored. */
	total(window: number, carried: CarriedCounts | undefined): Counts {
		const carriedSources = new Set(carried?.sources);
		const included = new Map<string, number>(
			Object.entries(carried?.counts ?? {}),
		);
		const known = new Map<string, number>();
		const added = new Map<string, number>();
		for (const [source, counts] of this.#windows.get(window) ?? []) {
			const sums = carriedSources.has(source) ? known : added;
			for (const [workspace, count] of counts) {
				sums.set(workspace, (sums.get(workspace) ?? 0) + count);
			}
		}

		for (const [workspace, count] of known) {
			included.set(workspace, Math.max(count, included.get(workspace) ?? 0));
		}

		for (const [workspace, count] of added) {
			included.set(workspace, count + (included.get(workspace) ?? 0));
		}

		return Object.fromEntries(
			[...included].toSorted(([a], [b]) => (a < b ? -1 : 1)),
		);
	}

	/** Processes that have counted in a window, with those of an earlier holder's counts. */
	sources(window: number, carried: CarriedCounts | undefined): string[] {
		return [
			...new Set([
				...(carried?.sources ?? []),
				...(this.#windows.get(window)?.keys() ?? []),
			]),
		];
	}

	/** Whether all processes that have counted in a window have stated that they count nothing more in it. */
	isClosed(window: number, now: number): boolean {
		this.#close(now);
		const sources = this.#windows.get(window)?.keys() ?? [];
		return [...sources].every(
			(source) => (this.#closedThrough.get(source) ?? 0) >= window,
		);
	}

	/** Windows in which something was counted. */
	windows(): number[] {
		return [...this.#windows.keys()].toSorted((a, b) => a - b);
	}

	/** Closes this process's own windows and drops old ones. */
	#close(now: number): number {
		const closedThrough = this.windowOf(now - lateCountMs) - 1;
		this.#closedThrough.set(
			this.#source,
			Math.max(closedThrough, this.#closedThrough.get(this.#source) ?? 0),
		);
		const oldest = this.windowOf(now) - keptWindows;
		for (const window of this.#windows.keys()) {
			if (window <= oldest) {
				this.#windows.delete(window);
			}
		}

		for (const [source, closed] of this.#closedThrough) {
			if (closed <= oldest) {
				this.#closedThrough.delete(source);
			}
		}

		return closedThrough;
	}

	#countsOf(window: number, source: string): Map<string, number> {
		const sources =
			this.#windows.get(window) ?? new Map<string, Map<string, number>>();
		this.#windows.set(window, sources);
		const counts = sources.get(source) ?? new Map<string, number>();
		sources.set(source, counts);
		return counts;
	}
}

/** Joins notices that fit one datagram together. */
function joinSmall(notices: readonly UsageNotice[]): UsageNotice[] {
	const joined: UsageNotice[] = [];
	let size = 0;
	for (const notice of notices) {
		const added = notice.windows[0]!.counts.length;
		const last = joined.at(-1);
		if (last && size + added <= maxCountsPerNotice) {
			joined[joined.length - 1] = {
				...last,
				windows: [...last.windows, ...notice.windows],
			};
			size += added;
		} else {
			joined.push(notice);
			size = added;
		}
	}

	return joined;
}
