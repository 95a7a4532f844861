import type {OfferReply, Update} from '../../interfaces/index.js';
import type {RunResult} from '../ledger/index.js';
import type {Attachments} from './attachments.js';
import type {CallerOutput} from './caller-output.js';
import {
	answerCut,
	cancelledByCaller,
	claimUnavailable,
	endpointFailed,
	outcomeUnknown,
	refusedByAll,
	repeated,
	timedOut,
} from './failures.js';
import {Hedging} from './hedging.js';
import {Launcher, type LauncherParts} from './launcher.js';
import type {Failure} from './message.js';
import type {Outliers} from './outliers.js';
import {measurePace} from './pace.js';
import {
	isGenerated,
	outcomeWithoutAnswer,
	type EntryAttempt,
	type Progress,
} from './progress.js';
import type {RetryBudget} from './retry-budget.js';

/** Longest wait for a sidecar's word on an attempt that was cancelled at its deadline, in milliseconds. */
const closingMs = 500;

/** Time for which a place to continue an answer that has begun is looked for, and the pause between two rounds, in milliseconds. */
const continueMs = 5000;
const continuePauseMs = 250;

type Chunk = Extract<Update, {type: 'chunk'}>;
type Ended = Extract<Update, {type: 'ended'}>;

export type RequestFlowParts = LauncherParts & {
	readonly attachments: Attachments;
	readonly output: CallerOutput;
	readonly budget: RetryBudget;
	readonly outliers: Outliers;
	/** Begins to revoke a lost attempt; the result comes back through `verdict`. */
	readonly revoke: (
		progress: Progress,
		attempt: EntryAttempt,
		now: number,
	) => void;
};

/** Takes one request from its arrival to its outcome. */
export class RequestFlow {
	readonly #parts: RequestFlowParts;
	readonly #attachments: Attachments;
	readonly #output: CallerOutput;
	readonly #hedging: Hedging;
	readonly #launcher: Launcher;

	constructor(parts: RequestFlowParts) {
		this.#parts = parts;
		this.#attachments = parts.attachments;
		this.#output = parts.output;
		this.#hedging = new Hedging(parts);
		this.#launcher = new Launcher(parts);
	}

	begin(progress: Progress, now: number): void {
		this.#parts.selection.reset(progress, now);
		this.#select(progress, now);
	}

	offerReply(
		progress: Progress,
		endpoint: string,
		reply: OfferReply,
		now: number,
	): void {
		if (this.#parts.selection.reply(progress, endpoint, reply, now)) {
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
			this.#onSilence(progress, now);
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

	/** The caller's workspace does not want the answer any more. */
	cancel(progress: Progress, now: number): void {
		if (!progress.closing && !progress.revoking) {
			this.#close(progress, cancelledByCaller, now);
		}
	}

	/** The caller is gone: what is in progress is cancelled, or left to a caller that may come back. */
	abandon(progress: Progress, isWatched: boolean): void {
		this.#hedging.drop(progress);
		const {attempt, request} = progress;
		if (attempt && !isWatched) {
			this.#parts.send(attempt.endpoint, {
				type: request.resumable ? 'detach' : 'cancel',
				attempt: attempt.id,
			});
		}

		progress.ended = true;
	}

	/** Does what is due at this time. */
	time(progress: Progress, now: number): void {
		const {attempt} = progress;
		if (progress.closing) {
			if (progress.closing.until <= now) {
				this.#onSilence(progress, now);
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
				this.#parts.selection.reset(progress, now);
				this.#select(progress, now);
			}
		} else if (progress.offers.size > 0 && progress.offersExpireAt <= now) {
			progress.offers.clear();
			this.#select(progress, now);
		} else if (progress.hedgeAt !== undefined && progress.hedgeAt <= now) {
			this.#hedge(progress, now);
		}
	}

	/** Decides about a lost attempt from what its run record says. */
	verdict(progress: Progress, result: RunResult, now: number): void {
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

	/** Starts an attempt at the best endpoint that has accepted, or asks further ones, or ends the request when none is left. */
	#select(progress: Progress, now: number): void {
		const started = this.#launcher.startNext(progress, now);
		if (started) {
			progress.attempt = started.attempt;
			this.#hedging.plan(progress, started.firstTokenMs, now);
			return;
		}

		if (this.#parts.selection.ask(progress, now)) {
			return;
		}

		if (progress.sequence > 0 && progress.continueUntil > now) {
			progress.continueAt = now + continuePauseMs;
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

	/** Starts a second attempt beside one whose first token is late. */
	#hedge(progress: Progress, now: number): void {
		progress.hedgeAt = undefined;
		const {workspace} = progress.request.profile.contract;
		if (
			progress.attempt &&
			progress.sequence === 0 &&
			progress.accepted.length > 0 &&
			this.#parts.budget.spend(workspace)
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
		if (this.#hedging.takeOver(progress)) {
			return;
		}

		if (refusal.recorded) {
			const {outcome, failure} = repeated(refusal.recorded);
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
				this.#parts.selection.noteLeaving(endpoint, now);
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
				this.#parts.budget.succeeded(
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
			progress.ranBefore = true;
			progress.failedAt.add(attempt.endpoint.name);
			this.#parts.outliers.failure(attempt.endpoint.name, now);
			if (this.#hedging.takeOver(progress)) {
				return;
			}

			this.#retry(progress, endpointFailed(ended.reason), now);
		} else {
			const failure = progress.closing?.failure ?? endpointFailed(ended.reason);
			this.#output.end(progress, ended.outcome, failure);
		}
	}

	/** There is no way left to learn from the sidecar what became of an attempt. */
	#onAttemptLost(progress: Progress, attempt: EntryAttempt, now: number): void {
		progress.attempt = undefined;
		progress.failedAt.add(attempt.endpoint.name);
		this.#parts.outliers.failure(attempt.endpoint.name, now);
		if (!progress.request.idempotent) {
			progress.revoking = attempt;
			this.#parts.revoke(progress, attempt, now);
			return;
		}

		if (attempt.started) {
			progress.ranBefore = true;
		} else {
			progress.doubtful = true;
		}

		if (!this.#hedging.takeOver(progress)) {
			this.#retry(progress, outcomeUnknown, now);
		}
	}

	/** Tries another endpoint while time and the retry budget last; otherwise ends the request. */
	#retry(progress: Progress, failure: Failure, now: number): void {
		const {contract} = progress.request.profile;
		const canContinue =
			progress.sequence === 0 ||
			(isGenerated(progress) && progress.answer.text() !== undefined);
		if (progress.closing !== undefined || progress.deadline <= now) {
			this.#endWithoutAnswer(progress, progress.closing?.failure ?? timedOut);
		} else if (canContinue && this.#parts.budget.spend(contract.workspace)) {
			progress.continueUntil = now + continueMs;
			this.#parts.selection.reset(progress, now);
			this.#select(progress, now);
		} else {
			this.#endWithoutAnswer(progress, failure);
		}
	}

	/** Ends a request in time; waits for the sidecar only when its word can prove that the request has not run. */
	#close(progress: Progress, failure: Failure, now: number): void {
		this.#hedging.drop(progress);
		const {attempt} = progress;
		if (!attempt) {
			this.#endWithoutAnswer(progress, failure);
			return;
		}

		progress.closing = {until: now + closingMs, failure};
		if (attempt.detached) {
			this.#onSilence(progress, now);
			return;
		}

		this.#parts.send(attempt.endpoint, {
			type: 'cancel',
			attempt: attempt.id,
			incarnation: attempt.incarnation,
			ageMs: now - attempt.sentAt,
		});
		if (attempt.started) {
			progress.ranBefore = true;
			this.#endWithoutAnswer(progress, failure);
		}
	}

	/** The sidecar has not said what became of a cancelled attempt. */
	#onSilence(progress: Progress, now: number): void {
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
			attempt.refetching = false;
			this.#hedging.drop(progress);
			measurePace(this.#parts.outliers, progress, attempt, now);
			progress.tokens += chunk.tokens;
			this.#output.chunk(progress, attempt, chunk.data);
		}
	}

	#endWithoutAnswer(progress: Progress, failure: Failure): void {
		this.#output.end(progress, outcomeWithoutAnswer(progress), failure);
	}
}
