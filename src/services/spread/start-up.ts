import type {Random} from '../../base/index.js';
import type {Peers} from './peers.js';
import type {Replica} from './replica.js';

/** Processes per second that load all records from the table when no peer has them; the others then load from those. */
const tableLoadsPerSecond = 2;
/** Time after which a starting process that has received nothing from any peer loads from the table, in milliseconds. */
const maxPeerWaitMs = 5000;
/** Peers that must have reported their revision before a starting process accepts the highest one, while the table is down. */
const minPeerReplies = 3;

type StartUpOptions = {
	readonly random: Random;
	readonly peers: Peers;
	readonly replica: Replica;
};

/** Decides when an empty process may load from the table, and which revision it must reach before it is ready to serve. */
export class StartUp {
	readonly #options: StartUpOptions;
	/** Minimum revision that an empty process must reach before it is ready to serve. */
	#required: number | undefined;
	/** Revisions reported by peers while this process is empty. */
	readonly #peerRevisions = new Map<string, number>();
	#startedAt: number | undefined;
	#loadAt = 0;

	constructor(options: StartUpOptions) {
		this.#options = options;
	}

	get isStarted(): boolean {
		return this.#startedAt !== undefined;
	}

	/** Minimum revision that an empty process must reach before it is ready to serve; undefined while not known. */
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
			now + random.next() * (peers.fleetSize / tableLoadsPerSecond) * 1000;
	}

	/** Records the revision that a peer reported; an empty peer reports 0. */
	recordPeerRevision(peer: string, revision: number): void {
		if (!this.#options.replica.store) {
			this.#peerRevisions.set(peer, revision);
		}
	}

	/** Requires the head that was read from the table. A stale read cannot lower the requirement of an earlier one. */
	requireRevision(head: number): void {
		this.#required = Math.max(this.#required ?? 0, head);
		this.#options.replica.staging?.requireRevision(head);
	}

	/** Whether an empty process may load from the table now, given its head. */
	canLoadFromTable(head: number, now: number): boolean {
		return head === 0 || now >= this.#loadAt || this.hasNoReachablePeer(now);
	}

	/** Whether there is no peer to load from: there are none, or none has reported in time. */
	hasNoReachablePeer(now: number): boolean {
		return (
			this.#options.peers.list.length === 0 ||
			(this.#peerRevisions.size === 0 && this.#hasPeerWaitExpired(now))
		);
	}

	/** Installs the staged records once they are consistent and not older than the required or the applied revision. */
	settle(isTableDown: boolean, now: number): void {
		const {replica} = this.#options;
		if (!replica.store && this.#required === undefined && isTableDown) {
			this.#requireHighestPeerRevision(now);
		}

		const result = replica.staging?.result;
		if (!result || (!replica.store && this.#required === undefined)) {
			return;
		}

		if (!replica.store && result.revision < (this.#required ?? 0)) {
			replica.staging?.requireRevision(this.#required ?? 0);
			return;
		}

		replica.install(result);
	}

	/** While the table is down, requires the highest revision that peers have reported. */
	#requireHighestPeerRevision(now: number): void {
		const {peers, replica} = this.#options;
		const revisions = [...this.#peerRevisions.values()];
		if (
			revisions.some((revision) => revision > 0) &&
			(revisions.length >= Math.min(minPeerReplies, peers.list.length) ||
				this.#hasPeerWaitExpired(now))
		) {
			this.#required = Math.max(...revisions);
			replica.staging?.requireRevision(this.#required);
		}
	}

	#hasPeerWaitExpired(now: number): boolean {
		return now - (this.#startedAt ?? now) > maxPeerWaitMs;
	}
}
