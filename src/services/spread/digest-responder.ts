import type {SpreadDigest, SpreadMessage} from '../../interfaces/index.js';
import type {Pulls} from './pulls.js';
import type {Replica} from './replica.js';

/** Maximum number of snapshot pieces of up to 256 KB that a process sends per second, so that a restart of its peers does not crowd out other work. */
const piecesPerSecond = 16;

type DigestResponderOptions = {
	readonly replica: Replica;
	readonly pulls: Pulls;
	/** Maximum JSON characters of records in one snapshot piece. */
	readonly pieceCharacters: number | undefined;
	readonly send: (peer: string, message: SpreadMessage) => void;
};

/** Responds to digests with the entries or the snapshot piece that the peer lacks. */
export class DigestResponder {
	readonly #options: DigestResponderOptions;
	/** Token bucket that limits snapshot pieces; holds at most one second's worth. */
	#pieceTokens = piecesPerSecond;
	#refilledAt = 0;

	constructor(options: DigestResponderOptions) {
		this.#options = options;
	}

	onDigest(peer: string, digest: SpreadDigest, now: number): void {
		const {replica, pulls, pieceCharacters, send} = this.#options;
		const {store} = replica;
		if (digest.snapshotAfter !== undefined) {
			const snapshot =
				store && this.#acquirePieceToken(now)
					? store.piece(digest.snapshotAfter, pieceCharacters)
					: undefined;
			const revision = store?.revision ?? 0;
			send(peer, {type: 'push', revision, entries: [], snapshot});
		} else if (store && digest.revision < store.revision) {
			const entries = store.entriesAfter(digest.revision);
			const {revision} = store;
			send(
				peer,
				entries
					? {type: 'push', revision, entries}
					: {type: 'push', revision, entries: [], snapshotOnly: true},
			);
		} else if (digest.revision > replica.current) {
			replica.recordRevision(digest.revision);
			pulls.catchUp(peer, false, now);
		} else if (digest.ask) {
			const revision = store?.revision ?? 0;
			send(peer, {type: 'push', revision, entries: []});
		}
	}

	#acquirePieceToken(now: number): boolean {
		const refill = ((now - this.#refilledAt) / 1000) * piecesPerSecond;
		this.#pieceTokens = Math.min(piecesPerSecond, this.#pieceTokens + refill);
		this.#refilledAt = now;
		if (this.#pieceTokens < 1) {
			return false;
		}

		this.#pieceTokens--;
		return true;
	}
}
