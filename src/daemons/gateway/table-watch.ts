import type {Disposable} from '../../base/index.js';
import type {Listing, Position, WatchedTable} from '../../interfaces/index.js';
import type {Clocks, RevalidationResult} from '../../services/gateway/index.js';
import {readClocks} from './clocks.js';

/** Maximum pause after a failed call, in milliseconds; half of it is random, so that gateways do not retry at the same time. */
const retryPauseMs = 300;

/** Interval between reads of the whole table, in milliseconds; repairs what the feed has missed. */
const relistIntervalMs = 10_000;

/** Pause between two revalidations with another gateway, in milliseconds; a leaving endpoint must be known well within 2 s. */
const revalidationPauseMs = 700;

export type TableWatchOptions<Change> = {
	readonly table: WatchedTable<Change>;
	/** Long-poll time of a feed call, in milliseconds. */
	readonly waitMs: () => number;
	/** Pause between two feed calls, in milliseconds; batches frequent changes into one answer. */
	readonly pauseMs: number;
	/** Called with the whole table. */
	readonly onList: (listing: Listing<Change>) => void;
	readonly onChange: (change: Change) => void;
	/** Called when the copy is confirmed: it was current at `sentAt`. */
	readonly onConfirmed: (sentAt: Clocks) => void;
	readonly onFailure: () => void;
	/** Revalidates the copy with another gateway; resolves to undefined when this gateway must read the store itself. */
	readonly revalidate: () => Promise<RevalidationResult | undefined>;
	/** Called once with the reason when calls begin to fail, and once with undefined when contact is regained, before the copy is confirmed or read again. */
	readonly onReachabilityChange: (reason: string | undefined) => void;
};

/** Task that keeps a local copy of one table of the platform's store up to date. */
export class TableWatch<Change> implements Disposable {
	readonly #options: TableWatchOptions<Change>;
	#position: Position | undefined;
	#listedAt: number | undefined;
	/** The copy has been revalidated since the feed was last read, so the position may be old. */
	#isPositionStale = false;
	/** Another gateway answered the last revalidation request, whatever the result. */
	#hasPeerAnswer = false;
	#hasFailed = false;
	#isDisposed = false;

	constructor(options: TableWatchOptions<Change>) {
		this.#options = options;
	}

	start(): void {
		void this.#run();
	}

	dispose(): void {
		this.#isDisposed = true;
	}

	async #run(): Promise<void> {
		while (!this.#isDisposed) {
			const sentAt = readClocks();
			try {
				if (await this.#revalidate(sentAt)) {
					await pause(revalidationPauseMs);
					continue;
				}

				if (await this.#step(sentAt)) {
					this.#options.onConfirmed(sentAt);
				}

				const pauseMs = this.#hasPeerAnswer
					? revalidationPauseMs
					: this.#options.pauseMs;
				if (pauseMs > 0) {
					await pause(pauseMs);
				}
			} catch (error) {
				if (this.#isDisposed) {
					return;
				}

				this.#position = undefined;
				this.#options.onFailure();
				if (!this.#hasFailed) {
					this.#hasFailed = true;
					this.#options.onReachabilityChange(String(error));
				}

				await pause((retryPauseMs / 2) * (1 + Math.random()));
			}
		}
	}

	/** Resolves to whether another gateway confirmed that the copy is current. If its copy differs, the next step reads the whole table, as the feed may have been compacted meanwhile. */
	async #revalidate(sentAt: Clocks): Promise<boolean> {
		const {revalidate, onConfirmed} = this.#options;
		if (this.#listedAt === undefined) {
			return false;
		}

		const result = await revalidate();
		this.#hasPeerAnswer = result !== undefined;
		switch (result?.type) {
			case 'current': {
				const {ageMs} = result;
				this.#listedAt = sentAt.monotonicMs;
				this.#isPositionStale = true;
				this.#reportReachable();
				onConfirmed({
					monotonicMs: sentAt.monotonicMs - ageMs,
					wallMs: sentAt.wallMs - ageMs,
				});
				return true;
			}

			case 'different': {
				this.#position = undefined;
				return false;
			}

			case 'unknown':
			case undefined: {
				// The feed would return all changes since the old position.
				if (this.#isPositionStale) {
					this.#position = undefined;
				}

				return false;
			}
		}
	}

	/** Reads the table or its feed; resolves to whether the copy was current when the call was sent. A feed that has been compacted does not show that. */
	async #step(sentAt: Clocks): Promise<boolean> {
		const {table, waitMs, onList, onChange} = this.#options;
		if (
			this.#position === undefined ||
			sentAt.monotonicMs - (this.#listedAt ?? 0) > relistIntervalMs
		) {
			const listing = await table.list();
			this.#reportReachable();
			onList(listing);
			this.#position = listing.position;
			this.#isPositionStale = false;
			this.#listedAt = sentAt.monotonicMs;
			return true;
		}

		const feed = await table.feed(this.#position, waitMs());
		switch (feed.type) {
			case 'lost': {
				this.#position = undefined;
				return false;
			}

			case 'changes': {
				for (const change of feed.changes) {
					onChange(change);
				}

				this.#position = feed.position;
				return true;
			}
		}
	}

	#reportReachable(): void {
		if (this.#hasFailed) {
			this.#hasFailed = false;
			this.#options.onReachabilityChange(undefined);
		}
	}
}

async function pause(ms: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, ms);
	});
}
