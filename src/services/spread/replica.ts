import type {LogEntry} from '../../interfaces/index.js';
import type {SpreadEffect} from './message.js';
import type {RecordStore} from './record-store.js';
import type {Staging} from './staging.js';

/** Maximum number of entries that are buffered until an earlier one arrives. */
const maxPending = 256;

type ReplicaOptions = {
	readonly emit: (effect: SpreadEffect) => void;
	/** Called with the revision that was just applied, the entries that led to it, and the process that read them from the table. */
	readonly forward: (
		revision: number,
		applied: readonly LogEntry[],
		origin: string,
	) => void;
};

/** The records of one process: the applied ones, those being collected, and entries that arrived out of order. */
export class Replica {
	/** Records that are being collected to replace the applied ones. */
	staging: Staging | undefined;
	readonly #options: ReplicaOptions;
	#store: RecordStore | undefined;
	/** Entries that arrived before an earlier one, by revision. */
	readonly #pending = new Map<number, LogEntry>();
	#known = 0;

	constructor(options: ReplicaOptions) {
		this.#options = options;
	}

	/** Applied records; undefined until the process is ready to serve. */
	get store(): RecordStore | undefined {
		return this.#store;
	}

	/** Highest revision reported by a peer or the table. */
	get known(): number {
		return this.#known;
	}

	/** Revision after which the next log entries are needed. */
	get current(): number {
		return this.staging?.revision ?? this.#store?.revision ?? 0;
	}

	/** Revisions of the buffered entries. */
	get pending(): number[] {
		return [...this.#pending.keys()];
	}

	/** Records a revision reported by a peer or the table. */
	recordRevision(revision: number): void {
		this.#known = Math.max(this.#known, revision);
	}

	/** Applies entries that are next in order, buffers those that arrive too early, and forwards the newly applied ones. */
	addEntries(entries: readonly LogEntry[], origin: string): void {
		this.staging?.apply(entries);
		const store = this.#store;
		for (const entry of entries) {
			this.recordRevision(entry.revision);
			const isNext = entry.revision === this.current + 1;
			const isEarly =
				entry.revision > this.current && this.#pending.size < maxPending;
			if (isNext || isEarly) {
				this.#pending.set(entry.revision, entry);
			}
		}

		if (!store) {
			return;
		}

		const applied: LogEntry[] = [];
		for (
			let next = this.#pending.get(store.revision + 1);
			next && store.apply(next);
			next = this.#pending.get(store.revision + 1)
		) {
			applied.push(next);
			this.#options.emit({type: 'apply', entry: next});
		}

		if (applied.length > 0) {
			this.#dropPendingUpTo(store.revision);
			this.#options.forward(store.revision, applied, origin);
		}
	}

	/** Replaces the applied records by the collected ones, unless these are not newer. */
	install(result: RecordStore): void {
		this.staging = undefined;
		if (this.#store && result.revision <= this.#store.revision) {
			return;
		}

		this.#store = result;
		this.#dropPendingUpTo(result.revision);
		const {revision, records} = result;
		this.#options.emit({type: 'reset', revision, records});
	}

	#dropPendingUpTo(revision: number): void {
		for (const pendingRevision of this.#pending.keys()) {
			if (pendingRevision <= revision) {
				this.#pending.delete(pendingRevision);
			}
		}
	}
}
