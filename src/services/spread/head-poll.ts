import type {Random} from '../../base/index.js';
import {headKey, headSchema, type Row} from '../../interfaces/index.js';
import type {Peers} from './peers.js';
import {jitter, type SpreadPolicy} from './policy.js';
import type {Replica} from './replica.js';
import type {StartUp} from './start-up.js';
import type {TableCalls} from './table-calls.js';
import type {TableScan} from './table-scan.js';

/** Reads of the head per second by all starting processes together: half of what the table can serve. */
const startReadsPerSecond = 1000;

type HeadPollOptions = {
	readonly random: Random;
	readonly policy: SpreadPolicy;
	readonly peers: Peers;
	readonly replica: Replica;
	readonly startUp: StartUp;
	readonly calls: TableCalls;
	readonly scan: TableScan;
};

/** Polls the head of the table, and has what is missing read from there. */
export class HeadPoll {
	readonly #options: HeadPollOptions;
	#next: number | undefined;

	constructor(options: HeadPollOptions) {
		this.#options = options;
	}

	/** Time of the next poll; undefined when there is none. */
	get next(): number | undefined {
		return this.#next;
	}

	/** Spreads the first polls of processes that start together. */
	start(now: number): void {
		const {random, peers} = this.#options;
		const windowMs = (peers.fleet / startReadsPerSecond) * 1000;
		this.#next = now + random.next() * windowMs;
	}

	/** Sets the first poll after the start. Processes that start together must not leave the table unread for half an interval. */
	onStarted(now: number): void {
		const next = this.#pollTime(now);
		this.#next = next && now + (next - now) * this.#options.random.next();
	}

	onTick(now: number): void {
		if (this.#next !== undefined && this.#next <= now) {
			const {calls} = this.#options;
			this.#next = this.#pollTime(now);
			if (!calls.isBusy) {
				calls.begin('head', {type: 'read', key: headKey}, now);
			}
		}
	}

	onHead(row: Row | undefined, now: number): void {
		const {replica, startUp, scan} = this.#options;
		const head = row ? headSchema.parse(JSON.parse(row.value)).revision : 0;
		replica.note(head);
		if (!replica.store) {
			startUp.require(head);
			if (!replica.staging && startUp.mayLoad(head, now)) {
				scan.load(head, now);
				return;
			}

			const retry = this.#pollTime(now);
			this.#next = replica.staging ? this.#next : retry;
		}

		const ready =
			replica.store !== undefined || replica.staging?.revision !== undefined;
		if (ready && head > replica.current) {
			scan.readLog(now);
		}
	}

	#pollTime(now: number): number | undefined {
		const {random, policy, peers, replica, startUp} = this.#options;
		if (replica.store) {
			const delay = policy.pollDelayMs(peers.fleet, random);
			return delay && now + delay;
		}

		const retryMs = Math.max(1000, (peers.fleet / startReadsPerSecond) * 2000);
		const retry = now + jitter(retryMs, random);
		if (startUp.required === undefined || startUp.isSilent(now)) {
			return retry;
		}

		return Math.max(startUp.loadAt, retry);
	}
}
