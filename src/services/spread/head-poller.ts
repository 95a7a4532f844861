import type {Random} from '../../base/index.js';
import {headKey, headSchema, type Row} from '../../interfaces/index.js';
import type {Peers} from './peers.js';
import {jitter, type SpreadPolicy} from './policy.js';
import type {Replica} from './replica.js';
import type {StartUp} from './start-up.js';
import type {TableCalls} from './table-calls.js';
import type {TableScan} from './table-scan.js';

/** Reads of the head by all starting processes together per second: half of what the table can serve. */
const startReadsPerSecond = 1000;

type HeadPollerOptions = {
	readonly random: Random;
	readonly policy: SpreadPolicy;
	readonly peers: Peers;
	readonly replica: Replica;
	readonly startUp: StartUp;
	readonly calls: TableCalls;
	readonly scan: TableScan;
};

/** Polls the head of the table, and starts a scan of the table when entries are missing. */
export class HeadPoller {
	readonly #options: HeadPollerOptions;
	#next: number | undefined;

	constructor(options: HeadPollerOptions) {
		this.#options = options;
	}

	/** Time of the next poll; undefined when this process does not poll. */
	get next(): number | undefined {
		return this.#next;
	}

	/** Schedules the first poll at a random time, so that processes that start together do not poll at once. */
	start(now: number): void {
		const {random, peers} = this.#options;
		const windowMs = (peers.fleetSize / startReadsPerSecond) * 1000;
		this.#next = now + random.next() * windowMs;
	}

	/** Schedules the first poll after start-up, at a random time within the interval: a jittered full interval would leave the table unread for half an interval when all processes start together. */
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
		replica.recordRevision(head);
		if (!replica.store) {
			startUp.requireRevision(head);
			if (!replica.staging && startUp.canLoadFromTable(head, now)) {
				scan.load(head, now);
				return;
			}

			const nextPoll = this.#pollTime(now);
			this.#next = replica.staging ? this.#next : nextPoll;
		}

		const canReadLog =
			replica.store !== undefined || replica.staging?.revision !== undefined;
		if (canReadLog && head > replica.current) {
			scan.readLog(now);
		}
	}

	#pollTime(now: number): number | undefined {
		const {random, policy, peers, replica, startUp} = this.#options;
		if (replica.store) {
			const delay = policy.pollDelayMs(peers.fleetSize, random);
			return delay && now + delay;
		}

		const retryMs = Math.max(
			1000,
			(peers.fleetSize / startReadsPerSecond) * 2000,
		);
		const retry = now + jitter(retryMs, random);
		if (startUp.required === undefined || startUp.hasNoReachablePeer(now)) {
			return retry;
		}

		return Math.max(startUp.loadAt, retry);
	}
}
