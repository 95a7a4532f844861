import type {Disposable} from '../../base/index.js';
import type {Roster} from '../../interfaces/index.js';
import type {Log} from '../log.js';
import {monotonicNow} from '../state-machine.js';
import {UnreadableRows} from './unreadable-rows.js';

/** Interval between reads of the roster, in milliseconds; a report from an unknown gateway brings the next read forward. */
const readIntervalMs = 30_000;

/** Delay of the read after a report from an unknown gateway, in milliseconds: several may have been added at once. */
const discoveryReadDelayMs = 1000;

/** Delay of the second read after the first, in milliseconds: all gateways may start together. */
const secondReadDelayMs = 1500;

/** Delay after a restore of the store until this gateway writes its row again, in milliseconds; randomized so that the gateways do not write at the same time. */
const restoreReadDelayMs = 200;

/** Delay before a failed call is retried, in milliseconds. */
const retryDelayMs = 2000;

/** Time after a restore of the store from an older backup during which the count does not fall, in milliseconds: gateways may be missing until they have written their rows again, and the gateways' shares must not add up to more than the whole. */
const restoreGracePeriodMs = 60_000;

/** Number of gateways that is assumed until the first read; a high number keeps this gateway's shares small. */
const assumedGateways = 10;

/** Task that keeps this gateway's row in the roster and counts the gateways there. */
export class RosterTask implements Disposable {
	readonly #roster: Roster;
	readonly #log: Log;
	readonly #unreadable: UnreadableRows;
	#count = assumedGateways;
	/** Minimum count until a time, in force after a restore of the store. */
	#minCount = {count: 0, until: Number.NEGATIVE_INFINITY};
	#hasEntered = false;
	#reads = 0;
	#isStopped = false;
	#isReadBroughtForward = false;
	#timer: NodeJS.Timeout | undefined;
	/** Address under which this gateway is listed. */
	readonly #address: string;
	readonly #onDidRead: (addresses: readonly string[]) => void;

	constructor(
		roster: Roster,
		address: string,
		log: Log,
		onDidRead: (addresses: readonly string[]) => void,
	) {
		this.#roster = roster;
		this.#address = address;
		this.#log = log;
		this.#unreadable = new UnreadableRows(log, 'roster_row_unreadable', 'row');
		this.#onDidRead = onDidRead;
	}

	/** Number of running gateways, including this one. */
	get count(): number {
		const {count, until} = this.#minCount;
		return monotonicNow() < until ? Math.max(count, this.#count) : this.#count;
	}

	/** Handles a restore of the store from an older backup, which may lack the rows of this gateway and of others. */
	restored(): void {
		this.#minCount = {
			count: this.count,
			until: monotonicNow() + restoreGracePeriodMs,
		};
		this.#hasEntered = false;
		if (!this.#isStopped && this.#timer) {
			clearTimeout(this.#timer);
			this.#schedule(restoreReadDelayMs);
		}
	}

	start(): void {
		void this.#refresh();
	}

	/** Brings the next read forward after a report from an unknown gateway. */
	readSoon(): void {
		if (
			!this.#isStopped &&
			this.#timer &&
			this.#reads > 1 &&
			!this.#isReadBroughtForward
		) {
			this.#isReadBroughtForward = true;
			clearTimeout(this.#timer);
			this.#schedule(discoveryReadDelayMs);
		}
	}

	/** Removes this gateway from the roster. A failure only keeps the other gateways' shares smaller than they could be. */
	async leave(): Promise<void> {
		this.#isStopped = true;
		clearTimeout(this.#timer);
		try {
			await this.#roster.leave();
		} catch (error) {
			this.#log.warn('roster_leave_failed', {reason: String(error)});
		}
	}

	dispose(): void {
		this.#isStopped = true;
		clearTimeout(this.#timer);
	}

	async #refresh(): Promise<void> {
		let waitMs = this.#reads === 0 ? secondReadDelayMs : readIntervalMs;
		try {
			if (!this.#hasEntered) {
				await this.#roster.enter();
				this.#hasEntered = true;
			}

			const entries = await this.#roster.entries();
			this.#unreadable.replace(
				entries.filter((entry) => entry.type === 'unreadable'),
			);
			const addresses = entries.flatMap((entry) =>
				entry.type === 'listed' ? [entry.address] : [],
			);
			this.#reads++;
			this.#onDidRead(addresses);
			if (!addresses.includes(this.#address)) {
				// A write by an earlier process, whose answer was lost, may take effect late and remove the row.
				this.#hasEntered = false;
				this.#log.warn('roster_row_missing', {address: this.#address});
				waitMs = retryDelayMs;
			}

			const count = Math.max(1, addresses.length);
			if (count !== this.#count) {
				this.#log.info('gateways', {count, before: this.#count});
				this.#count = count;
			}
		} catch (error) {
			waitMs = retryDelayMs;
			this.#log.warn('roster_failed', {reason: String(error)});
		}

		this.#isReadBroughtForward = false;
		if (!this.#isStopped) {
			this.#schedule(waitMs);
		}
	}

	#schedule(waitMs: number): void {
		this.#timer = setTimeout(
			() => {
				void this.#refresh();
			},
			waitMs * (0.5 + Math.random()),
		);
	}
}
