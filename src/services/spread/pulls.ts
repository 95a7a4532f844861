import type {Random} from '../../base/index.js';
import type {
	SnapshotPiece,
	SpreadDigest,
	SpreadMessage,
	SpreadPush,
} from '../../interfaces/index.js';
import type {Peers} from './peers.js';
import {jitter, type SpreadPolicy} from './policy.js';
import type {Replica} from './replica.js';
import {Staging} from './staging.js';
import type {StartUp} from './start-up.js';

/** Mean time between digests of a starting process, in milliseconds. */
const startDigestMs = 250;
/** Mean time after which an unanswered request is retried with another peer, in milliseconds. */
const answerTimeoutMs = 500;
/** Consecutive requests for the same gap; after that, the next digest or poll detects the gap again. */
const maxPullAttempts = 5;

type PullsOptions = {
	readonly random: Random;
	readonly policy: SpreadPolicy;
	readonly peers: Peers;
	readonly replica: Replica;
	readonly startUp: StartUp;
	readonly send: (peer: string, message: SpreadMessage) => void;
};

/** Compares revisions with peers by digests, and pulls missing entries or whole snapshots from them. */
export class Pulls {
	readonly #options: PullsOptions;
	#nextDigest: number | undefined;
	/** Pending request to a peer for entries or for a snapshot piece. */
	#pull:
		{readonly peer: string; readonly tries: number; until: number} | undefined;

	constructor(options: PullsOptions) {
		this.#options = options;
	}

	/** Time of the next digest; undefined when none is due. */
	get nextDigest(): number | undefined {
		return this.#nextDigest;
	}

	/** Time at which the pending request times out; undefined without one. */
	get until(): number | undefined {
		return this.#pull?.until;
	}

	start(now: number): void {
		this.#nextDigest = now + this.#options.random.next() * startDigestMs;
	}

	onTick(now: number): void {
		if (this.#pull && this.#pull.until <= now) {
			this.#onTimeout(now);
		}

		if (this.#nextDigest !== undefined && this.#nextDigest <= now) {
			this.#sendDigest(now);
		}
	}

	onPush(peer: string, push: SpreadPush, now: number): void {
		const {replica, startUp} = this.#options;
		replica.recordRevision(push.revision);
		if (this.#pull?.peer === peer) {
			this.#pull = undefined;
		}

		startUp.recordPeerRevision(peer, push.revision);
		if (push.snapshot) {
			this.#onPiece(peer, push.revision, push.snapshot, now);
		}

		replica.addEntries(push.entries, push.origin ?? peer);
		if (!push.snapshot && this.#isCollectingFrom(peer)) {
			// The peer is busy or has no records; the next digest continues with another one.
			replica.staging!.source = undefined;
			return;
		}

		if (push.revision > replica.current) {
			this.catchUp(peer, push.snapshotOnly === true, now);
		}
	}

	/** Requests missing entries, or a snapshot, from a peer that is ahead. */
	catchUp(peer: string, snapshotOnly: boolean, now: number): void {
		const {replica} = this.#options;
		const isCollecting = replica.staging?.after !== undefined;
		const isEmpty = !replica.store && !replica.staging;
		if (this.#pull !== undefined || isCollecting || isEmpty) {
			return;
		}

		if (snapshotOnly) {
			replica.staging = new Staging(peer);
		}

		this.#request(peer, now);
	}

	/** Returns the pending request for diagnostics. */
	dump(): unknown {
		return this.#pull;
	}

	#sendDigest(now: number): void {
		const {random, policy, peers, replica, send} = this.#options;
		const {store, staging} = replica;
		const everyMs = store ? policy.digestEveryMs : startDigestMs;
		this.#nextDigest = everyMs && now + jitter(everyMs, random);
		const peer = random.pick(peers.list);
		if (peer === undefined || this.#pull) {
			return;
		}

		if (staging?.after !== undefined && !staging.isFromTable) {
			// Continues the snapshot with another peer where the last one stopped.
			staging.source = peer;
			this.#request(peer, now);
			return;
		}

		const message: SpreadDigest = {type: 'digest', revision: replica.current};
		if (!store) {
			message.ask = true;
			message.snapshotAfter = staging ? undefined : '';
		}

		send(peer, message);
	}

	#isCollectingFrom(peer: string): boolean {
		const {staging} = this.#options.replica;
		return staging?.source === peer && staging.after !== undefined;
	}

	#onPiece(
		peer: string,
		revision: number,
		piece: SnapshotPiece,
		now: number,
	): void {
		const {replica} = this.#options;
		if (!replica.staging && !replica.store && revision > 0) {
			replica.staging = new Staging(peer);
		}

		if (replica.staging?.source === peer) {
			replica.staging.add(revision, piece);
			if (replica.staging.after !== undefined) {
				this.#request(peer, now);
			}
		}
	}

	#request(peer: string, now: number, tries = 1): void {
		const {random, replica, send} = this.#options;
		const message: SpreadDigest = {type: 'digest', revision: replica.current};
		if (this.#isCollectingFrom(peer)) {
			message.snapshotAfter = replica.staging?.after;
		}

		const timeoutMs = jitter(answerTimeoutMs, random);
		this.#pull = {peer, tries, until: now + timeoutMs};
		send(peer, message);
	}

	#onTimeout(now: number): void {
		const {random, peers, replica} = this.#options;
		const tries = (this.#pull?.tries ?? 0) + 1;
		this.#pull = undefined;
		if (replica.staging?.after !== undefined) {
			replica.staging.source = undefined;
		}

		const peer = random.pick(peers.list);
		if (
			peer !== undefined &&
			(replica.store ?? replica.staging) &&
			replica.known > replica.current &&
			tries <= maxPullAttempts
		) {
			this.#request(peer, now, tries);
		}
	}
}
