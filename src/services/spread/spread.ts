import type {Random} from '../../base/index.js';
import {
	headKey,
	headSchema,
	logEntrySchema,
	logPrefix,
	logKey,
	recordPrefix,
	storedRecordSchema,
	type LogEntry,
	type Row,
	type SnapshotPiece,
	type SpreadDigest,
	type SpreadMessage,
	type SpreadPush,
	type TableAnswer,
	type TableCall,
} from '../../platform/index.js';
import type {SpreadEffect, SpreadInput} from './message.js';
import {gossipPolicy, jitter, type SpreadPolicy} from './policy.js';
import {type RecordStore} from './record-store.js';
import {Staging} from './staging.js';

/** Reads of the head per second by all starting processes together: half of what the table can serve. */
const startReadsPerSecond = 1000;
/** Processes per second that load all records from the table when no peer has them; the others then load from these. */
const tableLoadsPerSecond = 2;
/** Time after which a starting process that has heard no peer loads from the table, in milliseconds. */
const silentPeersMs = 5000;
/** Peers that a starting process hears before it trusts the highest of their revisions, with the table down. */
const peersToHear = 3;
/** Time between digests of a starting process, in milliseconds. */
const startDigestMs = 250;
/** Time after which an unanswered request to a peer is repeated at another one, in milliseconds. */
const answerTimeoutMs = 500;
/** Requests in a row for the same gap; after these the next digest or poll finds it again. */
const maxPullTries = 5;
/** Time after which the answer of a table operation is no longer awaited, in milliseconds. */
const tableTimeoutMs = 10_000;
/** Entries that wait for an earlier one. */
const maxPending = 256;
/** Log entries replayed over records loaded from the table, which may be this much older than the head read before. */
const staleMargin = 64;
/** Rows read from the table at once. */
const scanLimit = 500;
/** Most snapshot pieces that a process sends per second, of up to 256 KB each, so that a restart of its peers does not crowd out other work. */
const piecesPerSecond = 16;

type TablePurpose = 'head' | 'log' | 'records';

export type SpreadOptions = {
	readonly id: string;
	readonly random: Random;
	/** Chosen by measurement; see `src/lab/spread-bench.ts`. */
	readonly policy?: SpreadPolicy;
	/** Most JSON characters of records in one snapshot piece. */
	readonly pieceCharacters?: number;
};

/** Brings accepted changes into force in one process, strictly in order of revision, from the table and from peers. */
export class Spread {
	readonly #id: string;
	readonly #random: Random;
	readonly #policy: SpreadPolicy;
	readonly #pieceCharacters: number | undefined;
	#peers: readonly string[] = [];
	/** Records in force; undefined until the process may take part. */
	#store: RecordStore | undefined;
	#staging: Staging | undefined;
	/** Entries that came before an earlier one, by revision. */
	readonly #pending = new Map<number, LogEntry>();
	/** Highest revision that a peer or the table has named. */
	#known = 0;
	/** Least revision with which an empty process may start to take part. */
	#required: number | undefined;
	/** Answers of peers while empty. */
	readonly #heard = new Map<string, number>();
	#startedAt: number | undefined;
	/** Time from which an empty process may load all records from the table. */
	#loadAt = 0;
	#nextPoll: number | undefined;
	#nextDigest: number | undefined;
	/** Request to a peer for entries or for a snapshot piece. */
	#pull:
		{readonly peer: string; readonly tries: number; until: number} | undefined;

	#call:
		| {
				readonly id: string;
				readonly purpose: TablePurpose;
				readonly until: number;
		  }
		| undefined;

	#calls = 0;
	#tableFailures = 0;
	/** Head that was read before the records were loaded from the table. */
	#headBeforeLoad = 0;
	#pieces = piecesPerSecond;
	#piecesAt = 0;
	#effects: SpreadEffect[] = [];

	constructor(options: SpreadOptions) {
		this.#id = options.id;
		this.#random = options.random;
		this.#policy = options.policy ?? gossipPolicy();
		this.#pieceCharacters = options.pieceCharacters;
	}

	/** Revision in force; undefined until the process may take part. */
	get revision(): number | undefined {
		return this.#store?.revision;
	}

	handle(message: SpreadInput, now: number): SpreadEffect[] {
		this.#effects = [];
		if (message.type === 'peers') {
			this.#peers = message.peers.filter((peer) => peer !== this.#id);
		}

		if (this.#startedAt === undefined) {
			this.#start(now);
		}

		switch (message.type) {
			case 'peer': {
				this.#onPeer(message.peer, message.message, now);
				break;
			}

			case 'table': {
				if (this.#call?.id === message.id) {
					const {purpose} = this.#call;
					this.#call = undefined;
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

		this.#settleStaging(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [this.#nextPoll, this.#nextDigest, this.#pull?.until].filter(
			(time) => time !== undefined,
		);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return {
			id: this.#id,
			revision: this.#store?.revision,
			known: this.#known,
			required: this.#required,
			records: this.#store?.records.size,
			peers: this.#peers.length,
			pending: [...this.#pending.keys()],
			staging: this.#staging && {
				source: this.#staging.source ?? 'table',
				after: this.#staging.after,
				revision: this.#staging.revision,
			},
			pull: this.#pull,
			tableFailures: this.#tableFailures,
		};
	}

	/** Revision after which log entries are needed next. */
	get #current(): number {
		return this.#staging?.revision ?? this.#store?.revision ?? 0;
	}

	get #fleet(): number {
		return this.#peers.length + 1;
	}

	#start(now: number): void {
		this.#startedAt = now;
		const windowMs = (this.#fleet / startReadsPerSecond) * 1000;
		this.#nextPoll = now + this.#random.next() * windowMs;
		this.#loadAt =
			now + this.#random.next() * (this.#fleet / tableLoadsPerSecond) * 1000;
		this.#nextDigest = now + this.#random.next() * startDigestMs;
	}

	#onTick(now: number): void {
		if (this.#call && this.#call.until <= now) {
			this.#call = undefined;
			this.#onTableFailure();
		}

		if (this.#pull && this.#pull.until <= now) {
			this.#onPullTimeout(now);
		}

		if (this.#nextDigest !== undefined && this.#nextDigest <= now) {
			this.#sendDigest(now);
		}

		if (this.#nextPoll !== undefined && this.#nextPoll <= now) {
			this.#nextPoll = this.#pollTime(now);
			if (!this.#call) {
				this.#callTable('head', {type: 'read', key: headKey}, now);
			}
		}
	}

	#pollTime(now: number): number | undefined {
		if (this.#store) {
			const delay = this.#policy.pollDelayMs(this.#fleet, this.#random);
			return delay && now + delay;
		}

		const retryMs = Math.max(1000, (this.#fleet / startReadsPerSecond) * 2000);
		const retry = now + jitter(retryMs, this.#random);
		if (this.#required === undefined || this.#silent(now)) {
			return retry;
		}

		return Math.max(this.#loadAt, retry);
	}

	#silent(now: number): boolean {
		return (
			this.#peers.length === 0 ||
			(this.#heard.size === 0 && now - (this.#startedAt ?? now) > silentPeersMs)
		);
	}

	#sendDigest(now: number): void {
		const everyMs = this.#store ? this.#policy.digestEveryMs : startDigestMs;
		this.#nextDigest = everyMs && now + jitter(everyMs, this.#random);
		const peer = this.#random.pick(this.#peers);
		if (peer === undefined || this.#pull) {
			return;
		}

		if (this.#staging?.after !== undefined && !this.#staging.isFromTable) {
			// Goes on with another peer where the last one stopped.
			this.#staging.source = peer;
			this.#request(peer, now);
			return;
		}

		const message: SpreadDigest = {type: 'digest', revision: this.#current};
		if (!this.#store) {
			message.ask = true;
			message.snapshotAfter = this.#staging ? undefined : '';
		}

		this.#send(peer, message);
	}

	#onPeer(peer: string, message: SpreadMessage, now: number): void {
		switch (message.type) {
			case 'push': {
				this.#onPush(peer, message, now);
				break;
			}

			case 'digest': {
				this.#onDigest(peer, message, now);
				break;
			}
		}
	}

	#onPush(peer: string, push: SpreadPush, now: number): void {
		this.#known = Math.max(this.#known, push.revision);
		if (this.#pull?.peer === peer) {
			this.#pull = undefined;
		}

		if (!this.#store) {
			this.#heard.set(peer, push.revision);
		}

		if (push.snapshot) {
			this.#onPiece(peer, push.revision, push.snapshot, now);
		}

		this.#learn(push.entries, push.origin ?? peer);
		if (!push.snapshot && this.#collectsFrom(peer)) {
			// The peer is busy or empty; the next digest asks another one.
			this.#staging!.source = undefined;
			return;
		}

		if (push.revision > this.#current) {
			this.#catchUp(peer, push.snapshotOnly === true, now);
		}
	}

	#collectsFrom(peer: string): boolean {
		return this.#staging?.source === peer && this.#staging.after !== undefined;
	}

	#onPiece(
		peer: string,
		revision: number,
		piece: SnapshotPiece,
		now: number,
	): void {
		if (!this.#staging && !this.#store && revision > 0) {
			this.#staging = new Staging(peer);
		}

		if (this.#staging?.source === peer) {
			this.#staging.add(revision, piece);
			if (this.#staging.after !== undefined) {
				this.#request(peer, now);
			}
		}
	}

	#onDigest(peer: string, digest: SpreadDigest, now: number): void {
		const store = this.#store;
		if (digest.snapshotAfter !== undefined) {
			const snapshot =
				store && this.#takePiece(now)
					? store.piece(digest.snapshotAfter, this.#pieceCharacters)
					: undefined;
			const revision = store?.revision ?? 0;
			this.#send(peer, {type: 'push', revision, entries: [], snapshot});
		} else if (store && digest.revision < store.revision) {
			const entries = store.entriesAfter(digest.revision);
			const {revision} = store;
			this.#send(
				peer,
				entries
					? {type: 'push', revision, entries}
					: {type: 'push', revision, entries: [], snapshotOnly: true},
			);
		} else if (digest.revision > this.#current) {
			this.#known = Math.max(this.#known, digest.revision);
			this.#catchUp(peer, false, now);
		} else if (digest.ask) {
			const revision = store?.revision ?? 0;
			this.#send(peer, {type: 'push', revision, entries: []});
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

	/** Asks a peer that is ahead for what is missing. */
	#catchUp(peer: string, snapshotOnly: boolean, now: number): void {
		const collecting = this.#staging?.after !== undefined;
		const empty = !this.#store && !this.#staging;
		if (this.#pull !== undefined || collecting || empty) {
			return;
		}

		if (snapshotOnly) {
			this.#staging = new Staging(peer);
		}

		this.#request(peer, now);
	}

	#request(peer: string, now: number, tries = 1): void {
		const message: SpreadDigest = {type: 'digest', revision: this.#current};
		if (this.#collectsFrom(peer)) {
			message.snapshotAfter = this.#staging?.after;
		}

		const timeoutMs = jitter(answerTimeoutMs, this.#random);
		this.#pull = {peer, tries, until: now + timeoutMs};
		this.#send(peer, message);
	}

	#onPullTimeout(now: number): void {
		const tries = (this.#pull?.tries ?? 0) + 1;
		this.#pull = undefined;
		if (this.#staging?.after !== undefined) {
			this.#staging.source = undefined;
		}

		const peer = this.#random.pick(this.#peers);
		if (
			peer !== undefined &&
			(this.#store ?? this.#staging) &&
			this.#known > this.#current &&
			tries <= maxPullTries
		) {
			this.#request(peer, now, tries);
		}
	}

	/** Applies entries that are next in order, keeps those that come too early, and passes on what is new. */
	#learn(entries: readonly LogEntry[], origin: string): void {
		this.#staging?.apply(entries);
		const store = this.#store;
		for (const entry of entries) {
			this.#known = Math.max(this.#known, entry.revision);
			const isNext = entry.revision === this.#current + 1;
			const isEarly =
				entry.revision > this.#current && this.#pending.size < maxPending;
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
			this.#effects.push({type: 'apply', entry: next});
		}

		if (learned.length > 0) {
			this.#forgetPending(store.revision);
			this.#passOn(store.revision, learned, origin);
		}
	}

	#forgetPending(revision: number): void {
		for (const pending of this.#pending.keys()) {
			if (pending <= revision) {
				this.#pending.delete(pending);
			}
		}
	}

	#passOn(
		revision: number,
		learned: readonly LogEntry[],
		origin: string,
	): void {
		// While catching up the peers are ahead anyway.
		if (revision < this.#known) {
			return;
		}

		const entries = this.#policy.pushBodies ? [...learned] : [];
		for (const peer of this.#policy.targets(
			this.#peers,
			this.#random,
			origin,
		)) {
			this.#send(peer, {type: 'push', revision, entries, origin});
		}
	}

	#onTable(purpose: TablePurpose, answer: TableAnswer, now: number): void {
		if (answer.type === 'unavailable' || answer.type === 'uncertain') {
			this.#onTableFailure();
			return;
		}

		this.#tableFailures = 0;
		if (answer.type === 'row' && purpose === 'head') {
			this.#onHead(answer.row, now);
		} else if (answer.type === 'rows' && purpose === 'log') {
			this.#onLogRows(answer.rows, now);
		} else if (answer.type === 'rows' && purpose === 'records') {
			this.#onRecordRows(answer.rows, now);
		}
	}

	#onTableFailure(): void {
		this.#tableFailures++;
		if (this.#staging?.isFromTable) {
			this.#staging = undefined;
		}
	}

	#onHead(row: Row | undefined, now: number): void {
		const head = row ? headSchema.parse(JSON.parse(row.value)).revision : 0;
		this.#known = Math.max(this.#known, head);
		if (!this.#store) {
			// A stale answer cannot lower what an earlier one required.
			this.#required = Math.max(this.#required ?? 0, head);
			this.#staging?.raise(head);
			const mayLoad = head === 0 || now >= this.#loadAt || this.#silent(now);
			if (!this.#staging && mayLoad) {
				this.#loadFromTable(head, now);
				return;
			}

			const retry = this.#pollTime(now);
			this.#nextPoll = this.#staging ? this.#nextPoll : retry;
		}

		const ready =
			this.#store !== undefined || this.#staging?.revision !== undefined;
		if (ready && head > this.#current) {
			this.#scanLog(now);
		}
	}

	#scanLog(now: number): void {
		const after = logKey(this.#current);
		const limit = scanLimit;
		this.#callTable(
			'log',
			{type: 'scan', prefix: logPrefix, after, limit},
			now,
		);
	}

	#onLogRows(rows: readonly Row[], now: number): void {
		const entries = rows.map((row) =>
			logEntrySchema.parse(JSON.parse(row.value)),
		);
		const [first] = entries;
		if (first && first.revision > this.#current + 1) {
			// The table no longer holds the entries in between.
			this.#loadFromTable(this.#known, now);
			return;
		}

		this.#learn(entries, this.#id);
		if (rows.length === scanLimit) {
			this.#scanLog(now);
		} else if (this.#staging?.isFromTable) {
			this.#staging.confirm();
		}
	}

	#loadFromTable(head: number, now: number): void {
		this.#headBeforeLoad = head;
		this.#staging = new Staging();
		this.#scanRecords(now);
	}

	#scanRecords(now: number): void {
		const after = this.#staging?.after;
		const limit = scanLimit;
		this.#callTable(
			'records',
			{type: 'scan', prefix: recordPrefix, after, limit},
			now,
		);
	}

	#onRecordRows(rows: readonly Row[], now: number): void {
		const staging = this.#staging;
		if (!staging?.isFromTable || staging.after === undefined) {
			return;
		}

		const records = rows.map((row) => ({
			key: row.key,
			record: storedRecordSchema.parse(JSON.parse(row.value)),
		}));
		const next = rows.length === scanLimit ? rows.at(-1)?.key : undefined;
		const base = Math.max(0, this.#headBeforeLoad - staleMargin);
		staging.add(base, {after: staging.after, records, next});
		if (next === undefined) {
			// The log read after the scan holds every entry that the scan may have seen in part.
			this.#scanLog(now);
		} else {
			this.#scanRecords(now);
		}
	}

	#callTable(purpose: TablePurpose, call: TableCall, now: number): void {
		const id = `${purpose}#${++this.#calls}`;
		this.#call = {id, purpose, until: now + tableTimeoutMs};
		this.#effects.push({type: 'table', id, call});
	}

	/** Puts collected records into force once they are consistent and not older than what is in force. */
	#settleStaging(now: number): void {
		if (!this.#store && this.#required === undefined) {
			this.#requireHighestHeard(now);
		}

		const result = this.#staging?.result;
		if (!result || (!this.#store && this.#required === undefined)) {
			return;
		}

		if (!this.#store && result.revision < (this.#required ?? 0)) {
			this.#staging?.raise(this.#required ?? 0);
			return;
		}

		this.#staging = undefined;
		if (this.#store && result.revision <= this.#store.revision) {
			return;
		}

		const started = this.#store !== undefined;
		this.#store = result;
		if (!started) {
			// Processes that start together must not leave the table unread for half an interval.
			const next = this.#pollTime(now);
			this.#nextPoll = next && now + (next - now) * this.#random.next();
		}

		this.#forgetPending(result.revision);
		this.#effects.push({
			type: 'reset',
			revision: result.revision,
			records: result.records,
		});
	}

	/** With the table down, an empty process takes the highest revision of the peers that it reaches. */
	#requireHighestHeard(now: number): void {
		const heard = [...this.#heard.values()];
		const waited = now - (this.#startedAt ?? now) > silentPeersMs;
		if (
			this.#tableFailures > 0 &&
			heard.some((revision) => revision > 0) &&
			(heard.length >= Math.min(peersToHear, this.#peers.length) || waited)
		) {
			this.#required = Math.max(...heard);
			this.#staging?.raise(this.#required);
		}
	}

	#send(peer: string, message: SpreadMessage): void {
		this.#effects.push({type: 'send', peer, message});
	}
}
