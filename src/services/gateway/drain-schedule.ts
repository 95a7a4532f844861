import type {RetryMode} from '../../interfaces/index.js';

/** Time after the stop signal for which every request is admitted, in milliseconds: the platform routes callers elsewhere only after two failed readiness checks, a second apart. */
const openMs = 2500;

/** Time after the stop signal for which idle connections stay open, in milliseconds: until then the platform still routes new connections here. */
const idleCloseDelayMs = 3000;

/** Maximum parts of the grace period for these times, so that a short one also has time for answers. */
const openPart = 1 / 3;
const idleClosePart = 1 / 2;

/** Time between the last answers and the end of the grace period, in milliseconds, and its maximum part of that period; what an endpoint works on in the last sixth may be broken off. */
const answerMarginMs = 1000;
const answerMarginPart = 1 / 8;

/** Time between the end of the process and the end of the grace period, likewise: a busy process may receive the signal late. */
const exitMarginMs = 700;
const exitMarginPart = 1 / 12;

/** A request that has been admitted, at the time at which it could be sent. */
export type DueRequest = {
	/** On the monotonic clock, in milliseconds. */
	readonly expiresAt: number;
	readonly objectiveMs: number;
	readonly retryMode: RetryMode;
	/** An earlier send may have run. */
	readonly mayHaveRun: boolean;
};

/** Course of a planned stop, from the stop signal to the end of its grace period; times in milliseconds of the monotonic clock. */
export class DrainSchedule {
	readonly startedAt: number;
	/** Idle connections are closed from then on. */
	readonly idleCloseAt: number;
	/** Requests that are still in progress get their final answer without waiting for an endpoint. */
	readonly answersEndAt: number;
	/** Connections are cut, whatever has been sent on them. */
	readonly exitAt: number;
	readonly #isOpenUntil: number;

	/** `graceMs` is the grace period in force when the signal arrived: the platform measures the stop by that one, also when the settings change meanwhile. */
	constructor(startedAt: number, graceMs: number) {
		this.startedAt = startedAt;
		this.#isOpenUntil = startedAt + Math.min(openMs, graceMs * openPart);
		this.idleCloseAt =
			startedAt + Math.min(idleCloseDelayMs, graceMs * idleClosePart);
		const endsAt = startedAt + graceMs;
		this.answersEndAt =
			endsAt - Math.min(answerMarginMs, graceMs * answerMarginPart);
		this.exitAt = endsAt - Math.min(exitMarginMs, graceMs * exitMarginPart);
	}

	/** Whether a new request is admitted: once callers have had time to go elsewhere, only one that ends before the last answers. */
	admits(now: number, expiresAt: number): boolean {
		return now <= this.#isOpenUntil || expiresAt <= this.answersEndAt;
	}

	/**
	 * Whether a request that was admitted may be sent. One that has never been
	 * sent can still be refused as not run, so it is sent late only if it ends
	 * before the last answers or, where it may be repeated, has at least the
	 * time of its objective. A repeat is sent in any case, because the request
	 * would fail without it.
	 */
	allowsSend(
		now: number,
		{expiresAt, objectiveMs, retryMode, mayHaveRun}: DueRequest,
	): boolean {
		if (now >= this.answersEndAt) {
			return false;
		}

		if (mayHaveRun || this.admits(now, expiresAt)) {
			return true;
		}

		switch (retryMode) {
			case 'once': {
				return false;
			}

			case 'idempotent':
			case 'resumable': {
				return now + objectiveMs <= this.answersEndAt;
			}
		}
	}
}
