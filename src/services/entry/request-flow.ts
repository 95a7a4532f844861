import type {OfferReply, Update} from '../../interfaces/index.js';
import type {RunOperationResult} from '../run-records/index.js';
import type {Attachments} from './attachments.js';
import type {CallerOutput} from './caller-output.js';
import {
	answerCut,
	cancelledByCaller,
	claimUnavailable,
	endpointFailed,
	outcomeUnknown,
	refusedByAll,
	repeatResult,
	timedOut,
} from './failures.js';
import {Hedging} from './hedging.js';
import {Launcher, type LauncherOptions} from './launcher.js';
import type {Failure} from './message.js';
import type {Outliers} from './outliers.js';
import {recordLatency} from './latency.js';
import {
	isGenerated,
	outcomeWithoutAnswer,
	type EntryAttempt,
	type Progress,
} from './progress.js';
import type {RetryBudget} from './retry-budget.js';

/** Maximum time to wait for the sidecar to report on a cancelled attempt, in milliseconds. */
const closingTimeoutMs = 500;

/** Time for which the entry looks for an endpoint to continue an answer that has begun, and the interval between two searches, in milliseconds. */
const continueTimeoutMs = 5000;
const continueRetryIntervalMs = 250;

type Chunk = Extract<Update, {type: 'chunk'}>;
type Ended = Extract<Update, {type: 'ended'}>;

export type RequestFlowOptions = LauncherOptions & {
	readonly attachments: Attachments;
	readonly output: CallerOutput;
	readonly budget: RetryBudget;
	readonly outliers: Outliers;
	/** Begins to revoke a lost attempt; the result is passed to `applyRunResult`. */
	readonly revoke: (
		progress: Progress,
		attempt: EntryAttempt,
		now: number,
	) => void;
};

/** Runs each request from its arrival to its outcome: selects endpoints, starts attempts, and handles retries, hedges and timeouts. */
export class RequestFlow {
	readonly #options: RequestFlowOptions;
	readonly #attachments: Attachments;
	readonly #output: CallerOutput;
	readonly #hedging: Hedging;
	readonly #launcher: Launcher;

	constructor(options: RequestFlowOptions) {
		this.#options = options;
		this.#attachments = options.attachments;
		this.#output = options.output;
		this.#hedging = new Hedging(options);
		this.#launcher = new Launcher(options);
	}

	begin(progress: Progress, now: number): void {
		this.#options.selection.reset(progress, now);
		this.#select(progress, now);
	}

	offerReply(
		progress: Progress,
		endpoint: string,
		reply: OfferReply,
		now: number,
	): void {
		if (this.#options.selection.reply(progress, endpoint, reply, now)) {
			this.#select(progress, now);
		}
	}

	update(
		progress: Progress,
		attempt: EntryAttempt,
		update: Update,
		now: number,
	): void {
		attempt.started ||= update.type !== 'refused' && update.type !== 'ended';
		if (
			attempt === progress.hedge &&
			!this.#hedging.update(progress, attempt, update)
		) {
			return;
		}

		switch (update.type) {
			case 'refused': {
				this.#onRefused(progress, update, attempt.endpoint.name, now);
				break;
			}

			case 'started': {
				break;
			}

			case 'head': {
				this.#output.head(progress, update);
				break;
			}

			case 'chunk': {
				this.#onChunk(progress, attempt, update, now);
				break;
			}

			case 'ended': {
				this.#onEnded(progress, attempt, update, now);
				break;
			}
		}
	}

	linkLost(progress: Progress, endpoint: string, now: number): void {
		if (progress.offers.delete(endpoint) && progress.offers.size === 0) {
			this.#select(progress, now);
		} else if (progress.hedge?.endpoint.name === endpoint) {
			this.#hedging.drop(progress);
		} else if (progress.attempt?.endpoint.name !== endpoint) {
			// The request does not depend on this link.
		} else if (progress.closing) {
			this.#onCancelUnconfirmed(progress, now);
		} else {
			this.#attachments.linkLost(progress, progress.attempt, now);
		}
	}

	linkUp(progress: Progress, incarnation: string, now: number): void {
		const attempt = progress.attempt!;
		if (attempt.incarnation === incarnation) {
			this.#attachments.linkUp(progress, attempt, now);
		} else {
			this.#onAttemptLost(progress, attempt, now);
		}
	}

	/** Cancels the request for its workspace; the caller still gets an outcome. */
	cancel(progress: Progress, now: number): void {
		if (!progress.closing && !progress.revoking) {
			this.#close(progress, cancelledByCaller, now);
		}
	}

	/** The caller has disconnected: cancels the attempts, or leaves a resumable one for a caller that may reconnect. */
	abandon(progress: Progress, isWatched: boolean): void {
		this.#hedging.drop(progress);
		const {attempt, request} = progress;
		if (attempt && !isWatched) {
			this.#options.send(attempt.endpoint, {
				type: request.resumable ? 'detach' : 'cancel',
				attempt: attempt.id,
			});
		}

		progress.ended = true;
	}

	/** Handles the timer of a request that is due. */
	handleDue(progress: Progress, now: number): void {
		const {attempt} = progress;
		if (progress.closing) {
			if (progress.closing.until <= now) {
				this.#onCancelUnconfirmed(progress, now);
			}
		} else if (progress.deadline <= now) {
			this.#close(progress, timedOut, now);
		} else if (attempt?.detached) {
			if (attempt.detached.until <= now) {
				this.#onAttemptLost(progress, attempt, now);
			} else if (attempt.detached.retryAt <= now) {
				this.#attachments.reopen(progress, attempt, now);
			}
		} else if (progress.continueAt !== undefined) {
			if (progress.continueAt <= now) {
				progress.continueAt = undefined;
				this.#options.selection.reset(progress, now);
				this.#select(progress, now);
			}
		} else if (progress.offers.size > 0 && progress.offersExpireAt <= now) {
			progress.offers.clear();
			this.#select(progress, now);
		} else if (progress.hedgeAt !== undefined && progress.hedgeAt <= now) {
			this.#hedge(progress, now);
		}
	}

	/** Retries or ends a request with a lost attempt, depending on its run record. */
	applyRunResult(
		progress: Progress,
		result: RunOperationResult,
		now: number,
	): void {
		const attempt = progress.revoking!;
		progress.revoking = undefined;
		const row = result.type === 'unavailable' ? undefined : result.row;
		const record = row?.type === 'present' ? row.record : undefined;
		if (record?.revoked.includes(attempt.id)) {
			progress.superseded.push(attempt.id);
			this.#retry(progress, refusedByAll([]), now);
		} else if (
			record?.state === 'completed' &&
			record.requestId === progress.request.id
		) {
			this.#output.recorded(progress, attempt, record);
		} else {
			const failure = progress.closing?.failure ?? outcomeUnknown;
			this.#output.end(progress, 'unknown', failure);
		}
	}

	/** Starts an attempt at the best endpoint that has accepted, or sends further offers, or ends the request when no endpoint is left. */
	#select(progress: Progress, now: number): void {
		const started = this.#launcher.startNext(progress, now);
		if (started) {
			progress.attempt = started.attempt;
			this.#hedging.plan(progress, started.firstTokenMs, now);
			return;
		}

		if (this.#options.selection.ask(progress, now)) {
			return;
		}

		if (progress.sequence > 0 && progress.continueUntil > now) {
			progress.continueAt = now + continueRetryIntervalMs;
			return;
		}

		const outcome = outcomeWithoutAnswer(progress);
		const failure =
			outcome === 'not_run'
				? refusedByAll(progress.refusals)
				: outcome === 'failed'
					? answerCut
					: outcomeUnknown;
		this.#output.end(progress, outcome, failure);
	}

	/** Starts a second attempt in parallel to one whose first token is late. */
	#hedge(progress: Progress, now: number): void {
		progress.hedgeAt = undefined;
		const {workspace} = progress.request.profile.contract;
		if (
			progress.attempt &&
			progress.sequence === 0 &&
			progress.accepted.length > 0 &&
			this.#options.budget.trySpend(workspace)
		) {
			progress.hedge = this.#launcher.startNext(progress, now)?.attempt;
		}
	}

	/** A refusal by the incarnation to which the attempt was sent proves that it has not run and will not run. */
	#onRefused(
		progress: Progress,
		update: Extract<Update, {type: 'refused'}>,
		endpoint: string,
		now: number,
	): void {
		const {refusal, attempt} = update;
		progress.superseded.push(attempt);
		progress.attempt = undefined;
		if (this.#hedging.promote(progress)) {
			return;
		}

		if (refusal.recorded) {
			const {outcome, failure} = repeatResult(refusal.recorded);
			this.#output.end(progress, outcome, failure);
		} else if (progress.closing) {
			this.#endWithoutAnswer(progress, progress.closing.failure);
		} else if (refusal.reason === 'withdrawn') {
			this.#endWithoutAnswer(progress, cancelledByCaller);
		} else if (refusal.reason === 'claim_unavailable') {
			this.#endWithoutAnswer(progress, claimUnavailable);
		} else {
			progress.refusals.push(refusal);
			if (refusal.reason === 'leaving') {
				this.#options.selection.recordLeaving(endpoint, now);
			}

			this.#select(progress, now);
		}
	}

	#onEnded(
		progress: Progress,
		attempt: EntryAttempt,
		ended: Ended,
		now: number,
	): void {
		if (ended.sequence > progress.sequence) {
			this.#attachments.refetch(progress, attempt, now);
			return;
		}

		switch (ended.outcome) {
			case 'completed': {
				this.#hedging.drop(progress);
				this.#options.budget.recordSuccess(
					progress.request.profile.contract.workspace,
				);
				this.#output.end(progress, 'completed');
				break;
			}

			case 'unknown':
			case 'not_run':
			case 'failed': {
				this.#onFailed(progress, attempt, ended, now);
				break;
			}
		}
	}

	#onFailed(
		progress: Progress,
		attempt: EntryAttempt,
		ended: Ended,
		now: number,
	): void {
		if (ended.reason === 'forgotten') {
			this.#onAttemptLost(progress, attempt, now);
		} else if (ended.reason === 'withdrawn') {
			this.#output.end(progress, ended.outcome, cancelledByCaller);
		} else if (progress.request.idempotent) {
			progress.attempt = undefined;
			progress.hasStartedBefore = true;
			progress.failedAt.add(attempt.endpoint.name);
			this.#options.outliers.recordFailure(attempt.endpoint.name, now);
			if (this.#hedging.promote(progress)) {
				return;
			}

			this.#retry(progress, endpointFailed(ended.reason), now);
		} else {
			const failure = progress.closing?.failure ?? endpointFailed(ended.reason);
			this.#output.end(progress, ended.outcome, failure);
		}
	}

	/** The sidecar can no longer report the outcome of the attempt. */
	#onAttemptLost(progress: Progress, attempt: EntryAttempt, now: number): void {
		progress.attempt = undefined;
		progress.failedAt.add(attempt.endpoint.name);
		this.#options.outliers.recordFailure(attempt.endpoint.name, now);
		if (!progress.request.idempotent) {
			progress.revoking = attempt;
			this.#options.revoke(progress, attempt, now);
			return;
		}

		if (attempt.started) {
			progress.hasStartedBefore = true;
		} else {
			progress.hasUncertainAttempt = true;
		}

		if (!this.#hedging.promote(progress)) {
			this.#retry(progress, outcomeUnknown, now);
		}
	}

	/** Retries at another endpoint while the deadline and the retry budget allow it; otherwise ends the request. */
	#retry(progress: Progress, failure: Failure, now: number): void {
		const {contract} = progress.request.profile;
		const canContinue =
			progress.sequence === 0 ||
			(isGenerated(progress) && progress.answer.text() !== undefined);
		if (progress.closing !== undefined || progress.deadline <= now) {
			this.#endWithoutAnswer(progress, progress.closing?.failure ?? timedOut);
		} else if (
			canContinue &&
			this.#options.budget.trySpend(contract.workspace)
		) {
			progress.continueUntil = now + continueTimeoutMs;
			this.#options.selection.reset(progress, now);
			this.#select(progress, now);
		} else {
			this.#endWithoutAnswer(progress, failure);
		}
	}

	/** Cancels the attempt and ends the request; waits for the sidecar only when its report can prove that the request has not run. */
	#close(progress: Progress, failure: Failure, now: number): void {
		this.#hedging.drop(progress);
		const {attempt} = progress;
		if (!attempt) {
			this.#endWithoutAnswer(progress, failure);
			return;
		}

		progress.closing = {until: now + closingTimeoutMs, failure};
		if (attempt.detached) {
			this.#onCancelUnconfirmed(progress, now);
			return;
		}

		this.#options.send(attempt.endpoint, {
			type: 'cancel',
			attempt: attempt.id,
			incarnation: attempt.incarnation,
			ageMs: now - attempt.sentAt,
		});
		if (attempt.started) {
			progress.hasStartedBefore = true;
			this.#endWithoutAnswer(progress, failure);
		}
	}

	/** The sidecar has not reported the outcome of a cancelled attempt. */
	#onCancelUnconfirmed(progress: Progress, now: number): void {
		const {attempt} = progress;
		if (attempt) {
			this.#onAttemptLost(progress, attempt, now);
		}
	}

	#onChunk(
		progress: Progress,
		attempt: EntryAttempt,
		chunk: Chunk,
		now: number,
	): void {
		if (chunk.sequence > progress.sequence + 1) {
			this.#attachments.refetch(progress, attempt, now);
		} else if (chunk.sequence === progress.sequence + 1) {
			attempt.isRefetching = false;
			this.#hedging.drop(progress);
			recordLatency(this.#options.outliers, progress, attempt, now);
			progress.tokens += chunk.tokens;
			this.#output.chunk(progress, attempt, chunk.data);
		}
	}

	#endWithoutAnswer(progress: Progress, failure: Failure): void {
		this.#output.end(progress, outcomeWithoutAnswer(progress), failure);
	}
}
