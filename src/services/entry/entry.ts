import {Timers, type Random} from '../../base/index.js';
import type {
	EntryToSidecar,
	Outcome,
	RunCompletion,
	SidecarToEntry,
	Update,
} from '../../platform/index.js';
import type {RunRow} from '../ledger/index.js';
import type {EndpointView} from '../records/index.js';
import type {Place} from './candidates.js';
import {
	answerCut,
	claimUnavailable,
	endpointFailed,
	entryLeaving,
	outcomeUnknown,
	refusedByAll,
	repeated,
	timedOut,
} from './failures.js';
import type {
	CallerRequest,
	EntryEffect,
	EntryMessage,
	Failure,
} from './message.js';
import {
	newProgress,
	outcomeWithoutAnswer,
	wakeOf,
	type EntryAttempt,
	type Progress,
} from './progress.js';
import {RetryBudget} from './retry-budget.js';
import {Revocations, type RevocationOutput} from './revocations.js';
import {Selection} from './selection.js';

/** Time within which a lost link must be open again, in milliseconds; after that its attempts are lost. */
const reattachMs = 3000;

/** Pause between two tries to open a link again, in milliseconds. */
const reopenPauseMs = 200;

/** Longest wait for a sidecar's word on an attempt that was cancelled at its deadline, in milliseconds. */
const closingMs = 500;

type Chunk = Extract<Update, {type: 'chunk'}>;
type Ended = Extract<Update, {type: 'ended'}>;

export type EntryOptions = {
	readonly place: Place;
	readonly random: Random;
	/** Extracts the generated text from the chunks of an answer. */
	readonly textOf: (chunks: readonly string[]) => string;
	/** Wall-clock time at monotonic time 0, in milliseconds since 1970; dates run records. */
	readonly epochMs?: number;
};

/** Decides for each caller's request where it runs, and what the caller is told. */
export class Entry {
	readonly #options: EntryOptions;
	readonly #requests = new Map<string, Progress>();
	/** Next time of each request. */
	readonly #timers = new Timers();
	readonly #incarnations = new Map<string, string>();
	readonly #selection: Selection;
	readonly #revocations: Revocations;
	readonly #budget = new RetryBudget();
	#leaving = false;
	#effects: EntryEffect[] = [];

	constructor(options: EntryOptions) {
		this.#options = options;
		this.#selection = new Selection({
			place: options.place,
			random: options.random,
			send: (endpoint, message) => {
				this.#send(endpoint, message);
			},
		});
		this.#revocations = new Revocations(options.epochMs ?? 0);
	}

	handle(message: EntryMessage, now: number): EntryEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'request': {
				this.#onRequest(message.request, now);
				break;
			}

			case 'callerGone': {
				this.#onCallerGone(message.requestId);
				break;
			}

			case 'taken': {
				this.#onTaken(message.requestId, message.upTo);
				break;
			}

			case 'linkUp': {
				this.#onLinkUp(message.endpoint, message.incarnation, now);
				break;
			}

			case 'linkLost': {
				this.#onLinkLost(message.endpoint, now);
				break;
			}

			case 'peer': {
				this.#onPeer(message.endpoint, message.message, now);
				break;
			}

			case 'leave': {
				this.#leaving = true;
				break;
			}

			case 'table': {
				const {id, answer} = message;
				this.#onRevocations(this.#revocations.answer(id, answer, now), now);
				break;
			}

			case 'tick': {
				break;
			}
		}

		this.#advance(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [
			this.#timers.earliest(),
			this.#revocations.nextWake(),
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return {
			leaving: this.#leaving,
			links: Object.fromEntries(this.#incarnations),
			requests: [...this.#requests.values()].map((progress) => ({
				id: progress.request.id,
				workspace: progress.request.profile.contract.workspace,
				attempt: progress.attempt?.id,
				endpoint: progress.attempt?.endpoint.name,
				started: progress.attempt?.started,
				detached: progress.attempt?.detached !== undefined,
				revoking: progress.revoking?.id,
				closing: progress.closing !== undefined,
				sequence: progress.sequence,
			})),
		};
	}

	#onRequest(request: CallerRequest, now: number): void {
		const progress = newProgress(request, now);
		this.#requests.set(request.id, progress);
		if (this.#leaving) {
			this.#end(progress, 'not_run', entryLeaving);
			return;
		}

		this.#selection.reset(progress);
		this.#select(progress, now);
	}

	/** Starts an attempt at the best endpoint that has accepted, or asks further ones, or ends the request when none is left. */
	#select(progress: Progress, now: number): void {
		for (
			let endpoint = this.#selection.take(progress);
			endpoint;
			endpoint = this.#selection.take(progress)
		) {
			const incarnation = this.#incarnations.get(endpoint.name);
			if (incarnation !== undefined) {
				this.#start(progress, endpoint, incarnation, now);
				return;
			}
		}

		if (this.#selection.ask(progress, now)) {
			this.#plan(progress);
			return;
		}

		const outcome = outcomeWithoutAnswer(progress);
		const failure =
			outcome === 'not_run'
				? refusedByAll(progress.refusals)
				: outcome === 'failed'
					? answerCut
					: outcomeUnknown;
		this.#end(progress, outcome, failure);
	}

	#start(
		progress: Progress,
		endpoint: EndpointView,
		incarnation: string,
		now: number,
	): void {
		const {request, superseded} = progress;
		progress.attempts++;
		const attempt: EntryAttempt = {
			id: `${request.id}.${progress.attempts}`,
			endpoint,
			incarnation,
			sentAt: now,
			started: false,
			detached: undefined,
			refetching: false,
		};
		progress.attempt = attempt;
		this.#send(endpoint, {
			type: 'start',
			attempt: attempt.id,
			requestId: request.id,
			incarnation,
			profile: request.profile,
			call: request.call,
			idempotent: request.idempotent,
			idempotencyKey: request.idempotencyKey,
			superseded: superseded.length > 0 ? [...superseded] : undefined,
			resumable: request.resumable,
			remainingMs: progress.deadline - now,
			resume:
				progress.sequence === 0
					? undefined
					: {
							sequence: progress.sequence,
							text: this.#options.textOf(progress.chunks),
							tokens: progress.tokens,
						},
		});
		this.#plan(progress);
	}

	#onPeer(endpoint: string, message: SidecarToEntry, now: number): void {
		switch (message.type) {
			case 'offerReply': {
				const progress = this.#requests.get(message.id);
				if (
					progress &&
					this.#selection.reply(progress, endpoint, message.reply)
				) {
					this.#select(progress, now);
				}

				break;
			}

			case 'update': {
				this.#onUpdate(endpoint, message.update, now);
				break;
			}
		}
	}

	#onUpdate(endpoint: string, update: Update, now: number): void {
		const requestId = update.attempt.slice(0, update.attempt.lastIndexOf('.'));
		const progress = this.#requests.get(requestId);
		const attempt = progress?.attempt;
		if (attempt?.id !== update.attempt || attempt.endpoint.name !== endpoint) {
			return;
		}

		switch (update.type) {
			case 'refused': {
				this.#onRefused(progress!, update, now);
				break;
			}

			case 'started': {
				attempt.started = true;
				break;
			}

			case 'head': {
				attempt.started = true;
				this.#onHead(progress!, update);
				break;
			}

			case 'chunk': {
				attempt.started = true;
				this.#onChunk(progress!, attempt, update, now);
				break;
			}

			case 'ended': {
				this.#onEnded(progress!, attempt, update, now);
				break;
			}
		}
	}

	/** A refusal by the incarnation to which the attempt was sent proves that it has not run and will not run. */
	#onRefused(
		progress: Progress,
		update: Extract<Update, {type: 'refused'}>,
		now: number,
	): void {
		const {refusal, attempt} = update;
		progress.superseded.push(attempt);
		progress.attempt = undefined;
		if (refusal.recorded) {
			const {outcome, failure} = repeated(refusal.recorded);
			this.#end(progress, outcome, failure);
		} else if (progress.closing) {
			this.#endWithoutAnswer(progress, progress.closing.failure);
		} else if (refusal.reason === 'claim_unavailable') {
			this.#endWithoutAnswer(progress, claimUnavailable);
		} else {
			progress.refusals.push(refusal);
			this.#select(progress, now);
		}
	}

	#onHead(
		progress: Progress,
		head: Pick<
			Extract<Update, {type: 'head'}>,
			'status' | 'headers' | 'binary'
		>,
	): void {
		if (progress.headSent) {
			return;
		}

		progress.headSent = true;
		this.#effects.push({
			type: 'head',
			requestId: progress.request.id,
			status: head.status,
			headers: head.headers,
			binary: head.binary,
		});
	}

	#onChunk(
		progress: Progress,
		attempt: EntryAttempt,
		chunk: Chunk,
		now: number,
	): void {
		if (chunk.sequence > progress.sequence + 1) {
			this.#refetch(progress, attempt, now);
		} else if (chunk.sequence === progress.sequence + 1) {
			attempt.refetching = false;
			progress.tokens += chunk.tokens;
			this.#deliver(progress, attempt, chunk.data);
		}
	}

	#deliver(progress: Progress, attempt: EntryAttempt, data: string): void {
		progress.sequence++;
		if (progress.request.idempotent) {
			progress.chunks.push(data);
		}

		this.#effects.push({
			type: 'chunk',
			requestId: progress.request.id,
			eventId: `${attempt.endpoint.name}/${attempt.id}/${progress.sequence}`,
			sequence: progress.sequence,
			data,
		});
	}

	#onEnded(
		progress: Progress,
		attempt: EntryAttempt,
		ended: Ended,
		now: number,
	): void {
		if (ended.sequence > progress.sequence) {
			this.#refetch(progress, attempt, now);
			return;
		}

		switch (ended.outcome) {
			case 'completed': {
				this.#budget.succeeded(progress.request.profile.contract.workspace);
				this.#end(progress, 'completed');
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
		} else if (progress.request.idempotent) {
			progress.attempt = undefined;
			progress.ranBefore = true;
			progress.failedAt.add(attempt.endpoint.name);
			this.#retry(progress, endpointFailed(ended.reason), now);
		} else {
			const failure = progress.closing?.failure ?? endpointFailed(ended.reason);
			this.#end(progress, ended.outcome, failure);
		}
	}

	/** Asks the sidecar for what is missing, once for each gap. */
	#refetch(progress: Progress, attempt: EntryAttempt, now: number): void {
		if (!attempt.refetching) {
			attempt.refetching = true;
			this.#attach(progress, attempt, now);
		}
	}

	#attach(progress: Progress, attempt: EntryAttempt, now: number): void {
		const {endpoint, id, incarnation, sentAt} = attempt;
		this.#send(endpoint, {
			type: 'attach',
			attempt: id,
			incarnation,
			ageMs: now - sentAt,
			workspace: progress.request.profile.contract.workspace,
			after: progress.sequence,
		});
		// A credit that was lost with the old link would leave the run paused.
		this.#send(endpoint, {
			type: 'credit',
			attempt: id,
			upTo: progress.taken,
		});
	}

	#onLinkUp(endpoint: string, incarnation: string, now: number): void {
		this.#incarnations.set(endpoint, incarnation);
		for (const progress of this.#requests.values()) {
			const {attempt} = progress;
			if (!attempt?.detached || attempt.endpoint.name !== endpoint) {
				continue;
			}

			if (attempt.incarnation !== incarnation) {
				this.#onAttemptLost(progress, attempt, now);
				continue;
			}

			if (!attempt.detached.sent) {
				this.#attach(progress, attempt, now);
			}

			attempt.detached = undefined;
			this.#plan(progress);
		}
	}

	#onLinkLost(endpoint: string, now: number): void {
		this.#incarnations.delete(endpoint);
		for (const progress of this.#requests.values()) {
			if (progress.offers.delete(endpoint) && progress.offers.size === 0) {
				this.#select(progress, now);
			} else if (progress.attempt?.endpoint.name === endpoint) {
				this.#onDetached(progress, progress.attempt, now);
			}
		}
	}

	#onDetached(progress: Progress, attempt: EntryAttempt, now: number): void {
		attempt.refetching = false;
		if (attempt.detached) {
			attempt.detached.sent = false;
			attempt.detached.retryAt = now + reopenPauseMs;
		} else {
			attempt.detached = {
				until: now + reattachMs,
				retryAt: now,
				sent: false,
			};
			this.#reopen(progress, attempt, now);
		}

		this.#plan(progress);
	}

	/** Opens the link again by a request to attach. */
	#reopen(progress: Progress, attempt: EntryAttempt, now: number): void {
		attempt.detached!.sent = true;
		attempt.detached!.retryAt = Number.POSITIVE_INFINITY;
		this.#attach(progress, attempt, now);
	}

	/** There is no way left to learn from the sidecar what became of an attempt. */
	#onAttemptLost(progress: Progress, attempt: EntryAttempt, now: number): void {
		progress.attempt = undefined;
		progress.failedAt.add(attempt.endpoint.name);
		if (!progress.request.idempotent) {
			progress.revoking = attempt;
			this.#plan(progress);
			this.#onRevocations(this.#revocations.begin(progress, attempt, now), now);
			return;
		}

		if (attempt.started) {
			progress.ranBefore = true;
		} else {
			progress.doubtful = true;
		}

		this.#retry(progress, outcomeUnknown, now);
	}

	/** Tries another endpoint while time and the retry budget last; otherwise ends the request. */
	#retry(progress: Progress, failure: Failure, now: number): void {
		const {contract, kind} = progress.request.profile;
		const canContinue = progress.sequence === 0 || kind === 'model';
		if (progress.closing ?? progress.deadline <= now) {
			this.#endWithoutAnswer(progress, progress.closing?.failure ?? timedOut);
		} else if (canContinue && this.#budget.spend(contract.workspace)) {
			this.#selection.reset(progress);
			this.#select(progress, now);
		} else {
			this.#endWithoutAnswer(progress, failure);
		}
	}

	#onRevocations(output: RevocationOutput, now: number): void {
		this.#effects.push(...output.effects);
		for (const {attempt, result} of output.verdicts) {
			const requestId = attempt.slice(0, attempt.lastIndexOf('.'));
			const progress = this.#requests.get(requestId);
			if (progress?.revoking?.id !== attempt) {
				continue;
			}

			if (result.type === 'unavailable') {
				this.#endUnknown(progress);
			} else {
				this.#onRecord(progress, progress.revoking, result.row, now);
			}
		}
	}

	/** Decides about a lost attempt from its run record. */
	#onRecord(
		progress: Progress,
		attempt: EntryAttempt,
		row: RunRow,
		now: number,
	): void {
		progress.revoking = undefined;
		if (row.type !== 'present') {
			this.#endUnknown(progress);
			return;
		}

		const {record} = row;
		if (record.revoked.includes(attempt.id)) {
			progress.superseded.push(attempt.id);
			this.#retry(progress, refusedByAll([]), now);
		} else if (
			record.state === 'completed' &&
			record.requestId === progress.request.id
		) {
			this.#onCompletion(progress, attempt, record);
		} else {
			this.#endUnknown(progress);
		}
	}

	/** Delivers the rest of the answer that the run record holds, or says that there is none. */
	#onCompletion(
		progress: Progress,
		attempt: EntryAttempt,
		record: RunCompletion,
	): void {
		const {answer, outcome, status} = record;
		if (outcome !== 'completed' || !answer) {
			const known = repeated({state: outcome, status});
			this.#end(progress, known.outcome, known.failure);
			return;
		}

		this.#onHead(progress, {...answer, status: status ?? 200});
		for (const data of answer.chunks.slice(progress.sequence)) {
			this.#deliver(progress, attempt, data);
		}

		this.#end(progress, 'completed');
	}

	#onCallerGone(requestId: string): void {
		const progress = this.#requests.get(requestId);
		if (!progress) {
			return;
		}

		const {attempt, request} = progress;
		if (attempt) {
			this.#send(attempt.endpoint, {
				type: request.resumable ? 'detach' : 'cancel',
				attempt: attempt.id,
			});
		}

		this.#remove(progress);
	}

	#onTaken(requestId: string, upTo: number): void {
		const progress = this.#requests.get(requestId);
		if (!progress) {
			return;
		}

		progress.taken = upTo;
		const {attempt} = progress;
		if (attempt && !attempt.detached) {
			this.#send(attempt.endpoint, {type: 'credit', attempt: attempt.id, upTo});
		}
	}

	#endWithoutAnswer(progress: Progress, failure: Failure): void {
		this.#end(progress, outcomeWithoutAnswer(progress), failure);
	}

	#endUnknown(progress: Progress): void {
		this.#end(progress, 'unknown', progress.closing?.failure ?? outcomeUnknown);
	}

	#end(progress: Progress, outcome: Outcome, failure?: Failure): void {
		this.#remove(progress);
		this.#effects.push({
			type: 'end',
			requestId: progress.request.id,
			outcome,
			failure,
			offers: progress.asked,
		});
	}

	#remove(progress: Progress): void {
		this.#requests.delete(progress.request.id);
		this.#timers.delete(progress.request.id);
	}

	#plan(progress: Progress): void {
		if (this.#requests.has(progress.request.id)) {
			this.#timers.set(progress.request.id, wakeOf(progress));
		}
	}

	#advance(now: number): void {
		for (const id of this.#timers.takeDue(now)) {
			const progress = this.#requests.get(id)!;
			this.#onTime(progress, now);
			this.#plan(progress);
		}

		this.#onRevocations(this.#revocations.advance(now), now);
		if (this.#leaving && this.#requests.size === 0) {
			this.#effects.push({type: 'drained'});
		}
	}

	#onTime(progress: Progress, now: number): void {
		const {attempt} = progress;
		if (progress.closing) {
			if (progress.closing.until <= now) {
				this.#onSilence(progress, now);
			}
		} else if (progress.deadline <= now) {
			this.#onDeadline(progress, now);
		} else if (attempt?.detached) {
			if (attempt.detached.until <= now) {
				this.#onAttemptLost(progress, attempt, now);
			} else if (attempt.detached.retryAt <= now) {
				this.#reopen(progress, attempt, now);
			}
		} else if (progress.offers.size > 0 && progress.offersExpireAt <= now) {
			progress.offers.clear();
			this.#select(progress, now);
		}
	}

	/** Ends a request in time; waits for the sidecar only when its word can prove that the request has not run. */
	#onDeadline(progress: Progress, now: number): void {
		const {attempt} = progress;
		if (!attempt) {
			this.#endWithoutAnswer(progress, timedOut);
			return;
		}

		progress.closing = {until: now + closingMs, failure: timedOut};
		if (attempt.detached) {
			this.#onSilence(progress, now);
			return;
		}

		this.#send(attempt.endpoint, {
			type: 'cancel',
			attempt: attempt.id,
			incarnation: attempt.incarnation,
			ageMs: now - attempt.sentAt,
		});
		if (attempt.started) {
			progress.ranBefore = true;
			this.#endWithoutAnswer(progress, timedOut);
		}
	}

	/** The sidecar has not said what became of a cancelled attempt. */
	#onSilence(progress: Progress, now: number): void {
		const {attempt} = progress;
		if (attempt) {
			this.#onAttemptLost(progress, attempt, now);
		}
	}

	#send(endpoint: EndpointView, message: EntryToSidecar): void {
		this.#effects.push({
			type: 'send',
			endpoint: endpoint.name,
			address: endpoint.address,
			message,
		});
	}
}
