import type {
	CloudCallResult,
	DutyRight,
	DutyRows,
} from '../../interfaces/index.js';
import type {Disposable} from '../../base/index.js';
import {
	Lease,
	type LeaseCall,
	type LeaseNotice,
	type LeaseOptions,
} from '../../services/duties/index.js';
import type {Clocks} from '../../services/gateway/index.js';
import {readClocks} from '../gateway/clocks.js';
import type {Log} from '../log.js';
import type {DutyCall, DutyWork, Takeover} from './duty-work.js';

/** Timeout of a call to the platform's API, in milliseconds; its answers may take 50 times as long as usual. */
const callTimeoutMs = 5000;

/** Time for which a stop waits for a call in progress, in milliseconds. */
const lastCallMs = 1000;

/** What happened to a lease, for the metrics. */
export type LeaseChange = 'acquired' | 'lost' | 'lapsed' | 'released';

export type DutyTaskOptions = LeaseOptions & {
	readonly rows: DutyRows;
	readonly work: DutyWork;
	readonly log: Log;
	/** This gateway's position in the duty's order, 0 first. */
	readonly rank: () => number;
	/** True time in milliseconds since 1970. */
	readonly trueMs: (now: Clocks) => number;
	/** Minimum interval between calls to the platform's API, in milliseconds. */
	readonly callIntervalMs: number;
	readonly onDidChange: (change: LeaseChange) => void;
	readonly onDidCallStore: (result: 'answered' | 'failed') => void;
};

type CallInProgress = {
	readonly controller: AbortController;
	readonly startedAt: number;
};

/** Holds or waits for the lease of one duty, and does its work while it holds the lease. */
export class DutyTask implements Disposable {
	readonly duty: string;
	readonly #options: DutyTaskOptions;
	readonly #lease: Lease;
	/** True time at which the era of the store was first seen. */
	#eraSeenAt: number | undefined;
	#knownEra: number | undefined;
	/** Token and write id of the own record that the work knows. */
	#token: number | undefined;
	#write: string | undefined;
	#isActing = false;
	#isStopping = false;
	#stoppedAt = 0;
	#isCallingStore = false;
	#hasFailed = false;
	#call: CallInProgress | undefined;
	#nextCallAt = Number.NEGATIVE_INFINITY;
	/** The other holder that was heard last. */
	#heard: (LeaseNotice & {holder: string; at: number}) | undefined;

	constructor(options: DutyTaskOptions) {
		this.#options = options;
		this.duty = options.work.duty;
		this.#lease = new Lease(options, readClocks());
	}

	/** Name of the gateway that holds the duty as far as this one knows. */
	get holder(): string | undefined {
		return this.#isActing ? this.#options.holder : this.#heard?.holder;
	}

	/** What the other gateways are told while this one holds the lease. */
	notice(): LeaseNotice | undefined {
		return this.#lease.notice(readClocks());
	}

	/** Handles the heartbeat of another holder; returns whether it is a new one. */
	hear(holder: string, notice: LeaseNotice): boolean {
		const now = readClocks();
		const isNew = notice.token !== this.#heard?.token;
		this.#heard = {...notice, holder, at: now.monotonicMs};
		this.#lease.hear(notice, now);
		this.#sync(now);
		return isNew;
	}

	seeEra(era: number): void {
		const now = readClocks();
		this.#lease.seeEra(era, now);
		this.#sync(now);
	}

	/** Does what is due; to be called about every 100 ms. */
	tick(): void {
		const now = readClocks();
		this.#sync(now);
		this.#endOverdueCall(now);
		const {work, rank} = this.#options;
		if (!work.isNeeded()) {
			return;
		}

		if (!this.#isCallingStore) {
			const due = this.#lease.dueCall(now, rank(), {
				hasNews: this.#isActing && work.hasNews(),
				isStopping: this.#isStopping && !this.#call,
			});
			void this.#callStore(due, now);
		}

		if (
			this.#isActing &&
			!this.#isStopping &&
			!this.#call &&
			now.monotonicMs >= this.#nextCallAt
		) {
			const call = work.dueCall();
			if (call) {
				void this.#callApi(call, now);
			}
		}
	}

	/** Makes no more calls, and releases the lease when the last one has ended. */
	stop(): void {
		this.#isStopping = true;
		this.#stoppedAt = readClocks().monotonicMs;
	}

	dump(): unknown {
		const now = readClocks();
		const {ownRecord, ownTimes, era} = this.#lease;
		const heard = this.#heard;
		return {
			duty: this.duty,
			holder: this.holder,
			isHeld: this.#isActing,
			token: this.#isActing ? ownRecord?.token : heard?.token,
			heldMs:
				this.#isActing && ownTimes
					? Math.round(now.monotonicMs - ownTimes.acquiredAt.monotonicMs)
					: undefined,
			leftMs: Math.round(this.#lease.leftMs(now)),
			heardMs: heard && Math.round(now.monotonicMs - heard.at),
			storeEra: era,
			rank: this.#options.rank(),
			...this.#options.work.dump(),
		};
	}

	dispose(): void {
		this.#call?.controller.abort();
	}

	async #callStore(call: LeaseCall, now: Clocks): Promise<void> {
		if (call === 'none') {
			return;
		}

		const {rows, log, onDidCallStore} = this.#options;
		this.#isCallingStore = true;
		try {
			if (call === 'read') {
				this.#lease.read(await rows.read(this.duty), readClocks());
			} else {
				const state = this.#lease.ownRecord
					? this.#options.work.compose()
					: this.#options.work.initialState(this.#takeover(now));
				const write = this.#lease.compose(call, state, now);
				this.#sync(now);
				const {expectedVersion, record} = write;
				const result = await rows.write(
					this.duty,
					expectedVersion,
					JSON.stringify(record),
				);
				this.#lease.written(write, result, readClocks());
				if (call === 'acquire' && result.type === 'conflict') {
					log.info('duty_not_acquired', {duty: this.duty});
				}
			}

			onDidCallStore('answered');
			if (this.#hasFailed) {
				this.#hasFailed = false;
				log.info('duty_store_regained', {duty: this.duty});
			}
		} catch (error) {
			this.#lease.failed(readClocks());
			onDidCallStore('failed');
			if (!this.#hasFailed) {
				this.#hasFailed = true;
				log.warn('duty_store_failed', {
					duty: this.duty,
					call,
					reason: String(error),
				});
			}
		} finally {
			this.#isCallingStore = false;
			this.#sync(readClocks());
		}
	}

	/** Passes what the lease has learned to the work, and logs changes. */
	#sync(now: Clocks): void {
		const {ownRecord, era} = this.#lease;
		const {work, trueMs} = this.#options;
		if (era !== this.#knownEra) {
			this.#knownEra = era;
			this.#eraSeenAt = trueMs(now);
		}

		if (ownRecord && ownRecord.token !== this.#token) {
			this.#token = ownRecord.token;
			work.adopt(ownRecord.state, this.#takeover(now));
		} else if (ownRecord && ownRecord.write !== this.#write) {
			work.acknowledge(ownRecord.state);
		}

		this.#write = ownRecord?.write;
		const mayAct = this.#lease.mayAct(now);
		if (mayAct !== this.#isActing) {
			this.#isActing = mayAct;
			this.#logChange(now);
		}

		if (!mayAct) {
			this.#call?.controller.abort();
		}
	}

	#logChange(now: Clocks): void {
		const {log, onDidChange} = this.#options;
		const {ownRecord, era} = this.#lease;
		if (this.#isActing) {
			onDidChange('acquired');
			log.info('duty_acquired', {
				duty: this.duty,
				token: ownRecord!.token,
				era: era ?? '',
				left_ms: Math.round(this.#lease.leftMs(now)),
			});
			return;
		}

		const change = ownRecord
			? ownRecord.isReleased
				? 'released'
				: 'lapsed'
			: 'lost';
		onDidChange(change);
		log.info('duty_given_up', {
			duty: this.duty,
			why: change,
			token: this.#token ?? '',
			era: era ?? '',
		});
	}

	#takeover(now: Clocks): Takeover {
		const {era, hasSeenEraChange, heldAtEraChange, isNewRow} = this.#lease;
		return {
			era: era ?? 0,
			eraSeenAt: this.#eraSeenAt ?? this.#options.trueMs(now),
			hasSeenEraChange,
			heldAtEraChange,
			isNewRow,
		};
	}

	async #callApi(call: DutyCall, now: Clocks): Promise<void> {
		const {holder, callIntervalMs} = this.#options;
		const {token} = this.#lease.ownRecord!;
		const right: DutyRight = {holder, token};
		const inProgress: CallInProgress = {
			controller: new AbortController(),
			startedAt: now.monotonicMs,
		};
		this.#call = inProgress;
		this.#nextCallAt = now.monotonicMs + callIntervalMs;
		const result: CloudCallResult = await call.send(right, {
			mayWrite: () => this.#mayWrite(token),
			signal: inProgress.controller.signal,
		});
		this.#call = undefined;
		call.ended(result);
	}

	/** The lease may have lapsed, or may belong to a later tenure, since the call was composed. */
	#mayWrite(token: number): boolean {
		return (
			this.#lease.mayAct(readClocks()) && this.#lease.ownRecord?.token === token
		);
	}

	#endOverdueCall(now: Clocks): void {
		const call = this.#call;
		if (!call) {
			return;
		}

		const isOverdue = now.monotonicMs - call.startedAt > callTimeoutMs;
		const delaysStop =
			this.#isStopping && now.monotonicMs - this.#stoppedAt > lastCallMs;
		if (isOverdue || delaysStop) {
			call.controller.abort();
		}
	}
}
