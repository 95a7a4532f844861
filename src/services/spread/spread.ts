import type {Random} from '../../base/index.js';
import type {
	LogEntry,
	SpreadMessage,
	TableAnswer,
} from '../../interfaces/index.js';
import {DigestResponder} from './digest-responder.js';
import {HeadPoller} from './head-poller.js';
import type {SpreadEffect, SpreadInput} from './message.js';
import {Peers} from './peers.js';
import {gossipPolicy, type SpreadPolicy} from './policy.js';
import {Pulls} from './pulls.js';
import {Replica} from './replica.js';
import {StartUp} from './start-up.js';
import {TableCalls, type TablePurpose} from './table-calls.js';
import {TableScan} from './table-scan.js';

export type SpreadOptions = {
	readonly id: string;
	readonly random: Random;
	/** Gossip by default; `src/lab/spread-bench.ts` compares it with other policies. */
	readonly policy?: SpreadPolicy;
	/** Maximum JSON characters of records in one snapshot piece. */
	readonly pieceCharacters?: number;
};

/** Replicates committed changes to one process, from the table and from peers, and applies them strictly in order of revision. */
export class Spread {
	readonly #id: string;
	readonly #random: Random;
	readonly #policy: SpreadPolicy;
	readonly #peers = new Peers();
	readonly #replica: Replica;
	readonly #startUp: StartUp;
	readonly #calls: TableCalls;
	readonly #scan: TableScan;
	readonly #headPoller: HeadPoller;
	readonly #pulls: Pulls;
	readonly #digestResponder: DigestResponder;
	#effects: SpreadEffect[] = [];

	constructor(options: SpreadOptions) {
		const {id, random, policy = gossipPolicy(), pieceCharacters} = options;
		const emit = (effect: SpreadEffect) => {
			this.#effects.push(effect);
		};

		const send = (peer: string, message: SpreadMessage) => {
			this.#send(peer, message);
		};

		const peers = this.#peers;
		const replica = new Replica({
			emit,
			forward: (revision, applied, origin) => {
				this.#forward(revision, applied, origin);
			},
		});
		const startUp = new StartUp({random, peers, replica});
		const calls = new TableCalls(emit);
		const scan = new TableScan({id, replica, calls});
		const shared = {random, policy, peers, replica, startUp};
		const pulls = new Pulls({...shared, send});
		this.#id = id;
		this.#random = random;
		this.#policy = policy;
		this.#replica = replica;
		this.#startUp = startUp;
		this.#calls = calls;
		this.#scan = scan;
		this.#headPoller = new HeadPoller({...shared, calls, scan});
		this.#pulls = pulls;
		this.#digestResponder = new DigestResponder({
			replica,
			pulls,
			pieceCharacters,
			send,
		});
	}

	/** Applied revision; undefined until the process is ready to serve. */
	get revision(): number | undefined {
		return this.#replica.store?.revision;
	}

	handle(message: SpreadInput, now: number): SpreadEffect[] {
		this.#effects = [];
		if (message.type === 'peers') {
			this.#peers.set(message.peers.filter((peer) => peer !== this.#id));
		}

		if (!this.#startUp.isStarted) {
			this.#headPoller.start(now);
			this.#startUp.start(now);
			this.#pulls.start(now);
		}

		switch (message.type) {
			case 'peer': {
				this.#onPeer(message.peer, message.message, now);
				break;
			}

			case 'table': {
				const purpose = this.#calls.end(message.id);
				if (purpose) {
					this.#onTable(purpose, message.answer, now);
				}

				break;
			}

			case 'tick': {
				this.#onTick(now);
				break;
			}

			case 'peers': {
				break;
			}
		}

		this.#settle(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [
			this.#headPoller.next,
			this.#pulls.nextDigest,
			this.#pulls.until,
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		const {store, staging, known, pending} = this.#replica;
		return {
			id: this.#id,
			revision: store?.revision,
			known,
			required: this.#startUp.required,
			records: store?.records.size,
			peers: this.#peers.list.length,
			pending,
			staging: staging && {
				source: staging.source ?? 'table',
				after: staging.after,
				revision: staging.revision,
			},
			pull: this.#pulls.dump(),
			tableFailures: this.#calls.failures,
		};
	}

	#onTick(now: number): void {
		if (this.#calls.expire(now)) {
			this.#onTableFailure();
		}

		this.#pulls.onTick(now);
		this.#headPoller.onTick(now);
	}

	#onPeer(peer: string, message: SpreadMessage, now: number): void {
		switch (message.type) {
			case 'push': {
				this.#pulls.onPush(peer, message, now);
				break;
			}

			case 'digest': {
				this.#digestResponder.onDigest(peer, message, now);
				break;
			}
		}
	}

	#onTable(purpose: TablePurpose, answer: TableAnswer, now: number): void {
		if (answer.type === 'unavailable' || answer.type === 'uncertain') {
			this.#onTableFailure();
			return;
		}

		this.#calls.onSuccess();
		if (answer.type === 'row' && purpose === 'head') {
			this.#headPoller.onHead(answer.row, now);
		} else if (answer.type === 'rows' && purpose === 'log') {
			this.#scan.onLogRows(answer.rows, now);
		} else if (answer.type === 'rows' && purpose === 'records') {
			this.#scan.onRecordRows(answer.rows, now);
		}
	}

	#onTableFailure(): void {
		this.#calls.onFailure();
		if (this.#replica.staging?.isFromTable) {
			this.#replica.staging = undefined;
		}
	}

	#settle(now: number): void {
		const wasEmpty = this.#replica.store === undefined;
		this.#startUp.settle(this.#calls.failures > 0, now);
		if (wasEmpty && this.#replica.store) {
			this.#headPoller.onStarted(now);
		}
	}

	#forward(
		revision: number,
		applied: readonly LogEntry[],
		origin: string,
	): void {
		// While this process catches up, its peers already have these entries.
		if (revision < this.#replica.known) {
			return;
		}

		const entries = this.#policy.pushBodies ? [...applied] : [];
		for (const peer of this.#policy.targets(
			this.#peers.list,
			this.#random,
			origin,
		)) {
			this.#send(peer, {type: 'push', revision, entries, origin});
		}
	}

	#send(peer: string, message: SpreadMessage): void {
		this.#effects.push({type: 'send', peer, message});
	}
}
