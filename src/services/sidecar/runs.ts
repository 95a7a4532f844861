import type {
	AttemptStart,
	EndpointEvent,
	EntryToSidecar,
	Outcome,
	Refusal,
	Update,
} from '../../interfaces/index.js';
import type {Admission} from './admission.js';
import {AnswerBuffer} from './answer-buffer.js';
import {outcomeOfBrokenCall, statusOf, type Attempt} from './attempt.js';
import type {Attempts} from './attempts.js';
import type {ClaimEvent, Claims} from './claims.js';
import type {SidecarEffect} from './message.js';
import type {Scheduler} from './scheduler.js';

/** Time for which a resumable attempt continues while detached, and for which any ended attempt is kept, in milliseconds. */
const resumableMs = 10_000;

/** Time that an entry has to open a new link, in milliseconds: it detects a dead link after 3 s and retries for another 3 s. */
const reattachMs = 5000;

export type RunsParts = {
	readonly attempts: Attempts;
	readonly claims: Claims;
	readonly admission: Admission;
	readonly scheduler: Scheduler;
	readonly emit: (effect: SidecarEffect) => void;
};

/** Life cycle of attempts: queued, claiming, running, ended. */
export class Runs {
	readonly #parts: RunsParts;
	#queued = 0;
	#unfinished = 0;

	constructor(parts: RunsParts) {
		this.#parts = parts;
	}

	/** Number of attempts that wait for a slot. */
	get queued(): number {
		return this.#queued;
	}

	/** Number of attempts that have not ended. */
	get unfinished(): number {
		return this.#unfinished;
	}

	start(link: string, start: AttemptStart, now: number): void {
		if (this.#parts.attempts.get(start.attempt)) {
			return;
		}

		const refusal = this.#parts.attempts.isPast(start.attempt)
			? ({reason: 'cancelled', retryAfterMs: 0} as const)
			: this.#parts.admission.refusalOfStart(start);
		if (refusal) {
			this.#parts.attempts.send(link, {
				type: 'refused',
				attempt: start.attempt,
				refusal,
			});
			return;
		}

		const after = start.resume?.sequence ?? 0;
		const attempt: Attempt = {
			id: start.attempt,
			start,
			deadline: now + start.remainingMs,
			link,
			state: 'queued',
			hasRun: false,
			paused: false,
			hasHead: false,
			sequence: after,
			buffer: new AnswerBuffer(after, start.resumable),
			outcome: undefined,
			forgetAt: undefined,
		};
		this.#parts.attempts.add(attempt);
		this.#queued++;
		this.#unfinished++;
		const shed = this.#parts.scheduler.enqueue(
			{
				attempt: start.attempt,
				profile: start.profile,
				arrivedAt: now,
				deadline: attempt.deadline,
				resumedTokens: start.resume?.tokens ?? 0,
			},
			now,
		);
		for (const {ticket, refusal: reason} of shed) {
			this.#refuse(this.#parts.attempts.get(ticket.attempt)!, reason, now);
		}
	}

	cancel(
		link: string,
		message: Extract<EntryToSidecar, {type: 'cancel'}>,
		now: number,
	): void {
		const attempt = this.#parts.attempts.get(message.attempt);
		if (!attempt) {
			this.#parts.attempts.answerForUnknown(link, message, now);
			return;
		}

		attempt.link = link;
		if (attempt.state === 'ended') {
			this.#parts.attempts.replay(attempt, attempt.sequence);
		} else {
			this.#abandon(attempt, 'cancelled', now);
		}
	}

	query(
		link: string,
		message: Extract<EntryToSidecar, {type: 'query'}>,
		now: number,
	): void {
		const {id, requestId, workspace} = message;
		const attempt = this.#parts.attempts.latest(requestId, workspace);
		if (attempt && message.cancel && attempt.state !== 'ended') {
			this.#abandon(attempt, 'withdrawn', now);
		}

		this.#parts.emit({
			type: 'send',
			link,
			message: {type: 'queryReply', id, status: attempt && statusOf(attempt)},
		});
	}

	detach(link: string, id: string, now: number): void {
		const attempt = this.#parts.attempts.get(id);
		// Another entry may have attached to the attempt in the meantime.
		if (attempt?.link === link) {
			this.#detach(attempt, now);
		}
	}

	linkLost(link: string, now: number): void {
		for (const attempt of this.#parts.attempts.all()) {
			if (attempt.link === link) {
				this.#detach(attempt, now);
			}
		}
	}

	/** The endpoint is leaving: refuses attempts that have not started, so that the entries send them elsewhere. */
	leaving(now: number): void {
		for (const attempt of this.#parts.attempts.all()) {
			if (attempt.state === 'queued' || attempt.state === 'claiming') {
				this.#refuse(attempt, {reason: 'leaving', retryAfterMs: 0}, now);
			}
		}
	}

	/** Abandons queued attempts after a pause of this process, since their entries may have sent them to other endpoints. */
	paused(now: number): void {
		if (this.#queued === 0) {
			return;
		}

		this.#parts.emit({type: 'log', event: 'paused', fields: {}});
		for (const attempt of this.#parts.attempts.all()) {
			if (attempt.state === 'queued') {
				this.#abandon(attempt, 'paused', now);
			}
		}
	}

	endpointEvent(id: string, event: EndpointEvent, now: number): void {
		const attempt = this.#parts.attempts.get(id);
		if (attempt?.state !== 'running') {
			return;
		}

		this.#parts.claims.addAnswerEvent(id, event);
		switch (event.type) {
			case 'head': {
				attempt.hasHead = true;
				this.#parts.attempts.update(attempt, {
					type: 'head',
					attempt: id,
					status: event.status,
					headers: event.headers,
					binary: event.binary,
				});
				break;
			}

			case 'chunk': {
				this.#parts.scheduler.progress(id, event.tokens, now);
				this.#onChunk(attempt, event.data, event.tokens);
				break;
			}

			case 'end': {
				this.#end(attempt, 'completed', '', now);
				break;
			}

			case 'error': {
				if (event.sent) {
					this.#end(attempt, outcomeOfBrokenCall(attempt), event.reason, now);
				} else {
					this.#refuse(
						attempt,
						{reason: 'overloaded', retryAfterMs: 1000},
						now,
					);
				}

				break;
			}
		}
	}

	/** Stops or forgets the attempts that are due, sheds late ones and starts new ones on free slots. */
	advance(now: number): void {
		for (const attempt of this.#parts.attempts.takeDue(now)) {
			this.#onTimer(attempt, now);
		}

		this.#parts.claims.advance(now);
		this.#applyClaims(now);
		for (const {ticket, refusal} of this.#parts.scheduler.expire(now)) {
			this.#refuse(this.#parts.attempts.get(ticket.attempt)!, refusal, now);
		}

		for (
			let ticket = this.#parts.scheduler.takeNext(now);
			ticket;
			ticket = this.#parts.scheduler.takeNext(now)
		) {
			this.#claimAndRun(this.#parts.attempts.get(ticket.attempt)!, now);
		}

		this.#applyClaims(now);
	}

	/** Detaches an attempt from its entry: it continues for a limited time, unless it has not started and cannot be resumed. */
	#detach(attempt: Attempt, now: number): void {
		attempt.link = undefined;
		if (attempt.state === 'ended') {
			return;
		}

		const {resumable} = attempt.start;
		if (!resumable && attempt.state !== 'running') {
			this.#abandon(attempt, 'link lost', now);
			return;
		}

		attempt.forgetAt ??= now + (resumable ? resumableMs : reattachMs);
		this.#parts.attempts.plan(attempt);
	}

	#onChunk(attempt: Attempt, data: string, tokens: number): void {
		attempt.sequence++;
		this.#parts.attempts.update(attempt, {
			type: 'chunk',
			attempt: attempt.id,
			sequence: attempt.sequence,
			data,
			tokens,
		});
	}

	/** Stops an attempt; one that was not yet sent to the endpoint is refused, which guarantees that it did not run. */
	#abandon(attempt: Attempt, reason: string, now: number): void {
		if (attempt.state === 'running') {
			this.#parts.emit({type: 'stopRun', attempt: attempt.id});
			const outcome = attempt.start.idempotent ? 'failed' : 'unknown';
			this.#end(attempt, outcome, reason, now);
		} else {
			const refusal = reason === 'withdrawn' ? reason : 'cancelled';
			this.#refuse(attempt, {reason: refusal, retryAfterMs: 0}, now);
		}
	}

	#end(
		attempt: Attempt,
		outcome: Exclude<Outcome, 'not_run'>,
		reason: string,
		now: number,
	): void {
		this.#parts.claims.complete(attempt.id, outcome, now);
		this.#parts.scheduler.finish(attempt.id, outcome === 'completed', now);
		this.#finish(attempt, now, {
			type: 'ended',
			attempt: attempt.id,
			outcome,
			sequence: attempt.sequence,
			reason,
		});
	}

	#refuse(attempt: Attempt, refusal: Refusal, now: number): void {
		attempt.hasRun = refusal.reason === 'duplicate';
		this.#parts.claims.release(attempt.id, now);
		this.#parts.scheduler.finish(attempt.id, false, now);
		this.#finish(attempt, now, {type: 'refused', attempt: attempt.id, refusal});
	}

	#finish(attempt: Attempt, now: number, final: Update): void {
		if (attempt.state === 'queued') {
			this.#queued--;
		}

		this.#unfinished--;
		attempt.state = 'ended';
		attempt.outcome = final.type === 'ended' ? final.outcome : 'not_run';
		attempt.paused = false;
		attempt.forgetAt = now + resumableMs;
		this.#parts.attempts.plan(attempt);
		this.#parts.attempts.update(attempt, final);
	}

	#applyClaims(now: number): void {
		const {effects, events} = this.#parts.claims.takeOutput();
		for (const effect of effects) {
			this.#parts.emit(effect);
		}

		for (const event of events) {
			this.#onClaim(event, now);
		}
	}

	/** Starts an attempt that has been given a slot; a non-idempotent one needs a claim first. */
	#claimAndRun(attempt: Attempt, now: number): void {
		this.#queued--;
		attempt.state = 'claiming';
		if (attempt.deadline <= now) {
			this.#refuse(attempt, {reason: 'deadline', retryAfterMs: 0}, now);
		} else if (attempt.start.idempotent) {
			this.#run(attempt);
		} else {
			this.#parts.claims.begin(attempt.start, attempt.deadline, now);
		}
	}

	#onClaim(event: ClaimEvent, now: number): void {
		const attempt = this.#parts.attempts.get(event.attempt);
		if (attempt?.state !== 'claiming') {
			this.#parts.claims.release(event.attempt, now);
			return;
		}

		switch (event.type) {
			case 'granted': {
				if (attempt.deadline <= now) {
					this.#refuse(attempt, {reason: 'deadline', retryAfterMs: 0}, now);
				} else {
					this.#run(attempt);
				}

				break;
			}

			case 'refused': {
				this.#refuse(attempt, event.refusal, now);
				break;
			}

			case 'replay': {
				this.#replayRecord(attempt, event.record, now);
				break;
			}
		}
	}

	/** Answers a repeated request with the response stored in the run record. */
	#replayRecord(
		attempt: Attempt,
		record: Extract<ClaimEvent, {type: 'replay'}>['record'],
		now: number,
	): void {
		attempt.hasRun = true;
		const {headers, binary, chunks} = record.answer!;
		this.#parts.attempts.update(attempt, {
			type: 'head',
			attempt: attempt.id,
			status: record.status ?? 200,
			headers: {...headers, 'idempotent-replayed': 'true'},
			binary,
		});
		for (const data of chunks) {
			this.#onChunk(attempt, data, 0);
		}

		this.#end(attempt, 'completed', 'recorded', now);
	}

	#run(attempt: Attempt): void {
		attempt.state = 'running';
		attempt.hasRun = true;
		this.#parts.attempts.plan(attempt);
		this.#parts.attempts.update(attempt, {
			type: 'started',
			attempt: attempt.id,
		});
		this.#parts.emit({
			type: 'run',
			attempt: attempt.id,
			requestId: attempt.start.requestId,
			call: attempt.start.call,
			priority: attempt.start.profile.contract.tier,
			resume: attempt.start.resume,
		});
	}

	#onTimer(attempt: Attempt, now: number): void {
		if (attempt.state === 'ended') {
			this.#parts.attempts.forget(attempt, now);
			return;
		}

		const isDetached =
			attempt.forgetAt !== undefined && attempt.forgetAt <= now;
		this.#abandon(attempt, isDetached ? 'link lost' : 'deadline', now);
	}
}
