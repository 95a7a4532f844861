import type {
	DutyReading,
	DutyWriteResult,
} from '../../interfaces/ports/index.js';
import {Confirmation, type Clocks} from '../gateway/confirmation.js';
import {
	eraOfToken,
	nextToken,
	parseLeaseRecord,
	type LeaseRecord,
} from './lease-record.js';
import type {
	LeaseCall,
	LeaseNotice,
	LeaseOptions,
	LeaseWrite,
} from './lease-calls.js';

/** Interval between writes of the holder, in milliseconds, and its largest part of the lease time: one write may fail before the lease lapses. */
const renewalMs = 1000;
const maxRenewalPart = 1 / 3;

/** Minimum interval between writes of the holder when the duty's state has changed, in milliseconds. */
const minWriteIntervalMs = 400;

/** Time without a heartbeat after which a gateway reads the row, in milliseconds; three heartbeats were then lost. */
const silenceMs = 1600;

/** Additional time for which each later gateway in the duty's order waits, in milliseconds. */
const rankStepMs = 500;

/** Number of gateways in the duty's order that try to take the lease without further delay. */
const firstCandidates = 4;

/** Additional time for which the others wait, in milliseconds: the first ones may all be cut off from the store, but not from the other gateways. */
const lateCandidateMs = 10_000;

/** Delay before a failed write is repeated while the lease is held, in milliseconds. */
const holderRetryMs = 500;

/** First and longest delay before a failed call is repeated otherwise, in milliseconds. */
const minRetryMs = 1000;
const maxRetryMs = 8000;

/** Number of writes without an answer that are remembered. */
const maxPending = 8;

/** Version of the row that is in force as far as this gateway knows. */
type Observation = {
	readonly era: number;
	readonly version: number;
	/** Undefined when the row does not exist, is no record, or only its version is known. */
	readonly record: LeaseRecord | undefined;
	readonly isRead: boolean;
	/** Monotonic time at which this version was first known, in milliseconds. */
	readonly at: number;
};

type Holding = {
	readonly version: number;
	readonly record: LeaseRecord;
	/** When the first and the last known write of this tenure were sent. */
	readonly acquiredAt: Clocks;
	readonly sentAt: Clocks;
};

/**
 * One gateway's view of the lease of a duty: whether it may act, and which call to the
 * store is due. The row in the store is the only authority. A holder counts its time
 * from when it sent a write, others count theirs from when they learned of a version,
 * and conditional writes order all of them, so no clock of one process is compared
 * with that of another.
 */
export class Lease {
	readonly #options: LeaseOptions;
	#era: number | undefined;
	#observation: Observation | undefined;
	#holding: Holding | undefined;
	/** Writes whose effect is not known. */
	#pending: LeaseWrite[] = [];
	#writes = 0;
	#highestToken = 0;
	/** Monotonic times, in milliseconds. */
	#heardAt: number;
	#lastWriteAt = Number.NEGATIVE_INFINITY;
	#retryAt = Number.NEGATIVE_INFINITY;
	#failures = 0;
	#hasSeenEraChange = false;
	#heldAtEraChange = false;

	constructor(options: LeaseOptions, now: Clocks) {
		this.#options = options;
		this.#heardAt = now.monotonicMs;
	}

	get era(): number | undefined {
		return this.#era;
	}

	/** The store was restored from a backup while this process ran. */
	get hasSeenEraChange(): boolean {
		return this.#hasSeenEraChange;
	}

	/** This gateway held the lease when the current era began, so it knows all that was done in the one before. */
	get heldAtEraChange(): boolean {
		return this.#heldAtEraChange;
	}

	/** The row does not exist. */
	get isNewRow(): boolean {
		return (
			this.#observation?.isRead === true && this.#observation.version === 0
		);
	}

	/** Last known record while the row is this process's own, also after the lease has lapsed. */
	get ownRecord(): LeaseRecord | undefined {
		return this.#holding?.record;
	}

	/** When the lease was acquired and the last known write was sent. */
	get ownTimes(): {acquiredAt: Clocks; sentAt: Clocks} | undefined {
		return this.#holding;
	}

	/** What the other gateways are told; undefined while this one may not act. */
	notice(now: Clocks): LeaseNotice | undefined {
		return this.mayAct(now)
			? {
					token: this.#holding!.record.token,
					era: this.#era!,
					version: this.#holding!.version,
				}
			: undefined;
	}

	/** Time until the lease lapses unless another write succeeds, in milliseconds; 0 when this gateway may not act. */
	leftMs(now: Clocks): number {
		if (!this.#holding || this.#holding.record.isReleased) {
			return 0;
		}

		const {leaseMs, marginMs} = this.#options;
		const confirmation = new Confirmation();
		confirmation.confirm(this.#holding.sentAt);
		return Math.max(0, leaseMs - marginMs - confirmation.ageMs(now));
	}

	mayAct(now: Clocks): boolean {
		return this.leftMs(now) > 0;
	}

	/** Whether the lease can be released with no more than the usual risk: every earlier holder has been idle for longer than a lease. */
	mayRelease(now: Clocks): boolean {
		const {leaseMs, marginMs} = this.#options;
		return (
			this.mayAct(now) &&
			now.monotonicMs - this.#holding!.acquiredAt.monotonicMs >
				leaseMs + marginMs
		);
	}

	/** An answer of the store, or another gateway, has shown its era. A lease ends with its era. */
	seeEra(era: number, now: Clocks): void {
		if (this.#era !== undefined && era > this.#era) {
			this.#heldAtEraChange = this.mayAct(now);
			this.#hasSeenEraChange = true;
			this.#holding = undefined;
			this.#observation = undefined;
			this.#pending = [];
		}

		this.#era = Math.max(era, this.#era ?? era);
	}

	/** The heartbeat of another gateway that holds the lease. */
	hear({token, era, version}: LeaseNotice, now: Clocks): void {
		this.seeEra(era, now);
		this.#highestToken = Math.max(this.#highestToken, token);
		if (era !== this.#era) {
			return;
		}

		this.#heardAt = now.monotonicMs;
		if (version > (this.#observation?.version ?? 0)) {
			this.#observation = {
				era,
				version,
				record: undefined,
				isRead: false,
				at: now.monotonicMs,
			};
		}
	}

	/** The row was read, or a write on another version was refused. */
	read({era, row}: DutyReading, now: Clocks): void {
		this.seeEra(era, now);
		this.#failures = 0;
		if (era !== this.#era) {
			return;
		}

		const record = row && parseLeaseRecord(row.text);
		const version = row?.version ?? 0;
		const known = this.#observation;
		this.#observation = {
			era,
			version,
			record,
			isRead: true,
			at:
				known?.era === era && known.version === version
					? known.at
					: now.monotonicMs,
		};
		this.#highestToken = Math.max(this.#highestToken, record?.token ?? 0);
		const own =
			record?.incarnation === this.#options.incarnation
				? this.#pending.find(({record: {write}}) => write === record.write)
				: undefined;
		if (own) {
			this.#hold(own, version);
		} else if (
			this.#holding &&
			(this.#holding.version !== version ||
				this.#holding.record.write !== record?.write)
		) {
			this.#holding = undefined;
		}
	}

	/** Returns the write to send now, with the duty's state; an acquisition keeps the state of the row, if it has one. The write must be sent at once, and its result passed to `written` or `failed`. */
	compose(
		purpose: LeaseWrite['purpose'],
		state: unknown,
		now: Clocks,
	): LeaseWrite {
		const {holder, incarnation} = this.#options;
		this.#writes++;
		const write = `${incarnation}-${this.#writes}`;
		const isAcquisition = purpose === 'acquire';
		const composed: LeaseWrite = {
			purpose,
			era: this.#era!,
			expectedVersion: isAcquisition
				? this.#observation!.version
				: this.#holding!.version,
			record: {
				holder,
				incarnation,
				token: isAcquisition
					? nextToken(this.#era!, this.#highestToken)
					: this.#holding!.record.token,
				write,
				isReleased: purpose === 'release',
				state:
					isAcquisition && this.#observation!.record
						? this.#observation!.record.state
						: state,
			},
			sentAt: now,
		};
		if (purpose === 'release') {
			// Nothing may be done after the write was sent, whether or not it succeeds.
			this.#holding = {...this.#holding!, record: composed.record};
		}

		this.#lastWriteAt = now.monotonicMs;
		this.#pending = [...this.#pending, composed].slice(-maxPending);
		return composed;
	}

	/** A write was answered. */
	written(write: LeaseWrite, result: DutyWriteResult, now: Clocks): void {
		switch (result.type) {
			case 'conflict': {
				this.read(result, now);
				// A lease that counts from an earlier write is due for another one sooner.
				this.#lastWriteAt =
					this.#holding?.sentAt.monotonicMs ?? this.#lastWriteAt;
				break;
			}

			case 'written': {
				this.#failures = 0;
				this.seeEra(result.era, now);
				if (result.era === this.#era && write.era === result.era) {
					this.#hold(write, result.version);
				}

				break;
			}
		}
	}

	/** A call had no answer; a write may have been done or may still be done. */
	failed(now: Clocks): void {
		const delayMs = this.mayAct(now)
			? holderRetryMs
			: Math.min(maxRetryMs, minRetryMs * 2 ** this.#failures);
		this.#failures++;
		this.#retryAt = now.monotonicMs + delayMs;
	}

	/** The call that is due. `rank` is this gateway's position in the duty's order, 0 first. */
	dueCall(
		now: Clocks,
		rank: number,
		{hasNews, isStopping}: {hasNews: boolean; isStopping: boolean},
	): LeaseCall {
		if (now.monotonicMs < this.#retryAt) {
			return 'none';
		}

		if (this.#holding) {
			return this.#dueCallOfHolder(now, hasNews, isStopping);
		}

		const delayMs = this.#delayMs(rank);
		const lateMs =
			rank < firstCandidates || this.#heldAtEraChange ? 0 : lateCandidateMs;
		if (
			isStopping ||
			now.monotonicMs - this.#heardAt <= silenceMs + delayMs + lateMs
		) {
			return 'none';
		}

		return this.#observation?.isRead
			? this.#dueAcquisition(this.#observation, delayMs, now)
			: 'read';
	}

	#dueCallOfHolder(
		now: Clocks,
		hasNews: boolean,
		isStopping: boolean,
	): LeaseCall {
		if (this.#holding!.record.isReleased) {
			return 'none';
		}

		if (isStopping) {
			return this.mayRelease(now) ? 'release' : 'none';
		}

		const sinceWriteMs = now.monotonicMs - this.#lastWriteAt;
		return sinceWriteMs >=
			Math.min(renewalMs, this.#options.leaseMs * maxRenewalPart) ||
			(hasNews && sinceWriteMs >= minWriteIntervalMs)
			? 'renew'
			: 'none';
	}

	#dueAcquisition(
		{record, at}: Observation,
		delayMs: number,
		now: Clocks,
	): LeaseCall {
		const {leaseMs, marginMs} = this.#options;
		const isFree =
			record?.isReleased === true && eraOfToken(record.token) === this.#era;
		const waitMs = delayMs + (isFree ? 0 : leaseMs + marginMs);
		return now.monotonicMs - at > waitMs ? 'acquire' : 'none';
	}

	/** Time that this gateway leaves to those before it in the order. In a new era the last holder comes first, because it alone knows what was done. */
	#delayMs(rank: number): number {
		return this.#heldAtEraChange
			? 0
			: (rank + (this.#hasSeenEraChange ? 1 : 0)) * rankStepMs;
	}

	#hold(write: LeaseWrite, version: number): void {
		const isSameTenure = this.#holding?.record.token === write.record.token;
		this.#holding = {
			version,
			record: write.record,
			acquiredAt: isSameTenure ? this.#holding!.acquiredAt : write.sentAt,
			sentAt: write.sentAt,
		};
		this.#highestToken = Math.max(this.#highestToken, write.record.token);
		this.#pending = [];
		this.#observation = {
			era: this.#era!,
			version,
			record: write.record,
			isRead: true,
			at: write.sentAt.monotonicMs,
		};
	}
}
