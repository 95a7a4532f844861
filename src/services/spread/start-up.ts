import type {Random} from '../../base/index.js';
import type {Peers} from './peers.js';
import type {Replica} from './replica.js';

/** Processes per second that load all records from the table when no peer has them; the others then load from these. */
const tableLoadsPerSecond = 2;
/** Time after which a starting process that has heard no peer loads from the table, in milliseconds. */
const silentPeersMs = 5000;
/** Peers that a starting process hears before it trusts the highest of their revisions, with the table down. */
const peersToHear = 3;

type StartUpOptions = {
	readonly random: Random;
	readonly peers: Peers;
	readonly replica: Replica;
};

/** Decides when an empty process may load from the table, and with which revision it may start to take part. */
export class StartUp {
	readonly #options: StartUpOptions;
	/** Least revision with which an empty process may start to take part. */
	#required: number | undefined;
	/** Answers of peers while empty. */
	readonly #heard = new Map<string, number>();
	#startedAt: number | undefined;
	/** Time from which an empty process may load all records from the table. */
	#loadAt = 0;

	constructor(options: StartUpOptions) {
		this.#options = options;
	}

	get isStarted(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Least revision with which an empty process may start to take part; undefined while not known. */
	get required(): number | undefined {
		return this.#required;
	}

	/** Time from which an empty process may load all records from the table. */
	get loadAt(): number {
		return this.#loadAt;
	}

	start(now: number): void {
		const {random, peers} = this.#options;
		this.#startedAt = now;
		this.#loadAt =
			now + random.next() * (peers.fleet / tableLoadsPerSecond) * 1000;
	}

	/** Notes the revision that a peer has named; 0 for an empty one. */
	hear(peer: string, revision: number): void {
		if (!this.#options.replica.store) {
			this.#heard.set(peer, revision);
		}
	}

	/** Requires the head that was read from the table. A stale answer cannot lower what an earlier one required. */
	require(head: number): void {
		this.#required = Math.max(this.#required ?? 0, head);
		this.#options.replica.staging?.raise(head);
	}

	/** Whether an empty process may load from a table with this head. */
	mayLoad(head: number, now: number): boolean {
		return head === 0 || now >= this.#loadAt || this.isSilent(now);
	}

	/** Whether no peer is there to load from. */
	isSilent(now: number): boolean {
		return (
			this.#options.peers.list.length === 0 ||
			(this.#heard.size === 0 && this.#hasWaited(now))
		);
	}

	/** Puts collected records into force once they are consistent and not older than what is required or in force. */
	settle(isTableDown: boolean, now: number): void {
		const {replica} = this.#options;
		if (!replica.store && this.#required === undefined && isTableDown) {
			this.#requireHighestHeard(now);
		}

		const result = replica.staging?.result;
		if (!result || (!replica.store && this.#required === undefined)) {
			return;
		}

		if (!replica.store && result.revision < (this.#required ?? 0)) {
			replica.staging?.raise(this.#required ?? 0);
			return;
		}

		replica.replace(result);
	}

	/** With the table down, an empty process takes the highest revision of the peers that it reaches. */
	#requireHighestHeard(now: number): void {
		const {peers, replica} = this.#options;
		const heard = [...this.#heard.values()];
		if (
			heard.some((revision) => revision > 0) &&
			(heard.length >= Math.min(peersToHear, peers.list.length) ||
				this.#hasWaited(now))
		) {
			this.#required = Math.max(...heard);
			replica.staging?.raise(this.#required);
		}
	}

	#hasWaited(now: number): boolean {
		return now - (this.#startedAt ?? now) > silentPeersMs;
	}
}
