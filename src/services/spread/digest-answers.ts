import type {SpreadDigest, SpreadMessage} from '../../interfaces/index.js';
import type {Pulls} from './pulls.js';
import type {Replica} from './replica.js';

/** Most snapshot pieces that a process sends per second, of up to 256 KB each, so that a restart of its peers does not crowd out other work. */
const piecesPerSecond = 16;

type DigestAnswersOptions = {
	readonly replica: Replica;
	readonly pulls: Pulls;
	/** Most JSON characters of records in one snapshot piece. */
	readonly pieceCharacters: number | undefined;
	readonly send: (peer: string, message: SpreadMessage) => void;
};

/** Answers digests of peers with the entries or the snapshot piece that they lack. */
export class DigestAnswers {
	readonly #options: DigestAnswersOptions;
	#pieces = piecesPerSecond;
	#piecesAt = 0;

	constructor(options: DigestAnswersOptions) {
		this.#options = options;
	}

	onDigest(peer: string, digest: SpreadDigest, now: number): void {
		const {replica, pulls, pieceCharacters, send} = this.#options;
		const {store} = replica;
		if (digest.snapshotAfter !== undefined) {
			const snapshot =
				store && this.#takePiece(now)
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
			replica.note(digest.revision);
			pulls.catchUp(peer, false, now);
		} else if (digest.ask) {
			const revision = store?.revision ?? 0;
			send(peer, {type: 'push', revision, entries: []});
		}
	}

	#takePiece(now: number): boolean {
		const refill = ((now - this.#piecesAt) / 1000) * piecesPerSecond;
		this.#pieces = Math.min(piecesPerSecond, this.#pieces + refill);
		this.#piecesAt = now;
		if (this.#pieces < 1) {
			return false;
		}

		this.#pieces--;
		return true;
	}
}
