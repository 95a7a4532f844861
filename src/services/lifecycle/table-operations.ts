import type {Random} from '../../base/index.js';
import type {TableAnswer, TableCall} from '../../interfaces/index.js';
import {jitter} from '../spread/index.js';
import type {Lease} from './lease.js';
import type {LifecycleEffect} from './message.js';
import type {RemovalOperation, Removals} from './removals.js';
import type {ScheduleClaim, ScheduleClaims} from './schedule-claims.js';
import type {TaskQueue} from './task-queue.js';

/** Mean time after which a failed table operation is tried again, in milliseconds. */
const tableRetryMs = 1000;
/** Time for which an answer of the table is awaited, in milliseconds. */
const tableTimeoutMs = 10_000;

/** A table operation of several steps. */
type Operation =
	| ({readonly type: 'claim'} & ScheduleClaim)
	| {readonly type: 'lease'}
	| RemovalOperation;

type TableOperationsOptions = {
	readonly random: Random;
	readonly lease: Lease;
	readonly claims: ScheduleClaims;
	readonly removals: Removals;
	readonly queue: TaskQueue;
	/** A number that this run has not used yet. */
	readonly nextNumber: () => number;
	readonly emit: (effect: LifecycleEffect) => void;
};

/** Carries out the table operations of the lifecycle one at a time: claims first, then removals, then the lease. */
export class TableOperations {
	readonly #options: TableOperationsOptions;
	#operation: Operation | undefined;
	#call: {readonly id: string; readonly until: number} | undefined;
	#retryAt = 0;
	/** Time until which the lease is another owner's. */
	#leaseWaitUntil = 0;

	constructor(options: TableOperationsOptions) {
		this.#options = options;
	}

	/** Takes the table's answer to a call; an answer to an earlier call is ignored. */
	onAnswer(id: string, answer: TableAnswer, now: number): void {
		if (id === this.#call?.id) {
			this.#call = undefined;
			this.#onAnswer(answer, now);
		}
	}

	/** Gives up a call whose answer is overdue; it may have taken effect. */
	expire(now: number): void {
		if (this.#call && this.#call.until <= now) {
			this.#call = undefined;
			this.#onAnswer({type: 'uncertain'}, now);
		}
	}

	/** Calls the table for the next step, unless an answer or a retry is awaited. */
	advance(now: number): void {
		if (this.#call !== undefined || now < this.#retryAt) {
			return;
		}

		this.#operation ??= this.#next(now);
		const operation = this.#operation;
		switch (operation?.type) {
			case 'claim': {
				this.#callTable(operation.claim.call(), now);
				break;
			}

			case 'lease': {
				const step = this.#options.lease.next(now);
				if (step.type === 'wait') {
					this.#operation = undefined;
					this.#leaseWaitUntil = step.until;
					this.#yieldToOwner();
				} else {
					this.#callTable(step, now);
				}

				break;
			}

			case 'removal':
			case 'return': {
				this.#callTable(operation.removal.call(), now);
				break;
			}

			case undefined: {
				break;
			}
		}
	}

	#onAnswer(answer: TableAnswer, now: number): void {
		const {random, claims, lease, removals} = this.#options;
		const operation = this.#operation;
		this.#operation = undefined;
		if (answer.type === 'unavailable' || answer.type === 'uncertain') {
			this.#retryAt = now + jitter(tableRetryMs, random);
		}

		switch (operation?.type) {
			case 'claim': {
				claims.onAnswer(operation, answer);
				break;
			}

			case 'lease': {
				lease.onAnswer(answer, now);
				break;
			}

			case 'removal':
			case 'return': {
				const isSettled = removals.onAnswer(operation, answer);
				this.#operation = isSettled ? undefined : operation;
				break;
			}

			case undefined: {
				break;
			}
		}
	}

	/** Another run of the sidecar acts for the endpoint by now: what this one meant to do is out of date. */
	#yieldToOwner(): void {
		const {lease, queue, emit} = this.#options;
		if (lease.wasHeld && !queue.isEmpty) {
			queue.clear();
			emit({type: 'log', event: 'lease lost', fields: {}});
		}
	}

	#next(now: number): Operation | undefined {
		const {claims, removals} = this.#options;
		const claim = claims.next();
		if (claim) {
			return {type: 'claim', ...claim};
		}

		return (
			removals.next() ?? (this.#needsLease(now) ? {type: 'lease'} : undefined)
		);
	}

	#needsLease(now: number): boolean {
		const {lease, queue} = this.#options;
		const task = queue.first;
		return (
			task?.stage === 'command' &&
			!task.isWaiting &&
			now >= this.#leaseWaitUntil &&
			lease.token(now) === undefined
		);
	}

	#callTable(call: TableCall, now: number): void {
		const {nextNumber, emit} = this.#options;
		const id = `lifecycle#${nextNumber()}`;
		this.#call = {id, until: now + tableTimeoutMs};
		emit({type: 'table', id, call});
	}
}
