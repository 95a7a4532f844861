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

/** Time between digests of a starting process, in milliseconds. */
const startDigestMs = 250;
/** Time after which an unanswered request to a peer is repeated at another one, in milliseconds. */
const answerTimeoutMs = 500;
/** Requests in a row for the same gap; after these the next digest or poll finds it again. */
const maxPullTries = 5;

type PullsOptions = {
	readonly random: Random;
	readonly policy: SpreadPolicy;
	readonly peers: Peers;
	readonly replica: Replica;
	readonly startUp: StartUp;
	readonly send: (peer: string, message: SpreadMessage) => void;
};

/** Finds out by digests what peers have, and pulls missing entries or whole snapshots from them. */
export class Pulls {
	readonly #options: PullsOptions;
	#nextDigest: number | undefined;
	/** Request to a peer for entries or for a snapshot piece. */
	#pull:
		{readonly peer: string; readonly tries: number; until: number} | undefined;

	constructor(options: PullsOptions) {
		this.#options = options;
	}

	/** Time of the next digest; undefined when there is none. */
	get nextDigest(): number | undefined {
		return this.#nextDigest;
	}

	/** Time until which an answer is awaited; undefined without a request. */
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
		replica.note(push.revision);
		if (this.#pull?.peer === peer) {
			this.#pull = undefined;
		}

		startUp.hear(peer, push.revision);
		if (push.snapshot) {
			this.#onPiece(peer, push.revision, push.snapshot, now);
		}

		replica.learn(push.entries, push.origin ?? peer);
		if (!push.snapshot && this.#collectsFrom(peer)) {
			// The peer is busy or empty; the next digest asks another one.
			replica.staging!.source = undefined;
			return;
		}

		if (push.revision > replica.current) {
			this.catchUp(peer, push.snapshotOnly === true, now);
		}
	}

	/** Asks a peer that is ahead for what is missing. */
	catchUp(peer: string, snapshotOnly: boolean, now: number): void {
		const {replica} = this.#options;
		const collecting = replica.staging?.after !== undefined;
		const empty = !replica.store && !replica.staging;
		if (this.#pull !== undefined || collecting || empty) {
			return;
		}

		if (snapshotOnly) {
			replica.staging = new Staging(peer);
		}

		this.#request(peer, now);
	}

	/** The request whose answer is awaited. */
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
			// Goes on with another peer where the last one stopped.
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

	#collectsFrom(peer: string): boolean {
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
		if (this.#collectsFrom(peer)) {
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
			tries <= maxPullTries
		) {
			this.#request(peer, now, tries);
		}
	}
}
