import type {LogEntry} from '../../interfaces/index.js';
import type {SpreadEffect} from './message.js';
import type {RecordStore} from './record-store.js';
import type {Staging} from './staging.js';

/** Entries that wait for an earlier one. */
const maxPending = 256;

type ReplicaOptions = {
	readonly emit: (effect: SpreadEffect) => void;
	/** Called with the revision that has just come into force, the entries that led to it, and the process that read them from the table. */
	readonly passOn: (
		revision: number,
		learned: readonly LogEntry[],
		origin: string,
	) => void;
};

/** The records of one process: those in force, those being collected, and entries that came too early. */
export class Replica {
	/** Records that are being collected to replace those in force. */
	staging: Staging | undefined;
	readonly #options: ReplicaOptions;
	/** Records in force; undefined until the process may take part. */
	#store: RecordStore | undefined;
	/** Entries that came before an earlier one, by revision. */
	readonly #pending = new Map<number, LogEntry>();
	#known = 0;

	constructor(options: ReplicaOptions) {
		this.#options = options;
	}

	/** Records in force; undefined until the process may take part. */
	get store(): RecordStore | undefined {
		return this.#store;
	}

	/** Highest revision that a peer or the table has named. */
	get known(): number {
		return this.#known;
	}

	/** Revision after which log entries are needed next. */
	get current(): number {
		return this.staging?.revision ?? this.#store?.revision ?? 0;
	}

	/** Revisions of the entries that wait for an earlier one. */
	get pending(): number[] {
		return [...this.#pending.keys()];
	}

	/** Notes a revision that a peer or the table has named. */
	note(revision: number): void {
		this.#known = Math.max(this.#known, revision);
	}

	/** Applies entries that are next in order, keeps those that come too early, and passes on what is new. */
	learn(entries: readonly LogEntry[], origin: string): void {
		this.staging?.apply(entries);
		const store = this.#store;
		for (const entry of entries) {
			this.note(entry.revision);
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

		const learned: LogEntry[] = [];
		for (
			let next = this.#pending.get(store.revision + 1);
			next && store.apply(next);
			next = this.#pending.get(store.revision + 1)
		) {
			learned.push(next);
			this.#options.emit({type: 'apply', entry: next});
		}

		if (learned.length > 0) {
			this.#forgetPending(store.revision);
			this.#options.passOn(store.revision, learned, origin);
		}
	}

	/** Puts collected records into force, unless they are older than those in force. */
	replace(result: RecordStore): void {
		this.staging = undefined;
		if (this.#store && result.revision <= this.#store.revision) {
			return;
		}

		this.#store = result;
		this.#forgetPending(result.revision);
		const {revision, records} = result;
		this.#options.emit({type: 'reset', revision, records});
	}

	#forgetPending(revision: number): void {
		for (const pending of this.#pending.keys()) {
			if (pending <= revision) {
				this.#pending.delete(pending);
			}
		}
	}
}
