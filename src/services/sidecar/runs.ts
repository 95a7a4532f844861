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
import {brokenOutcome, statusOf, type Attempt} from './attempt.js';
import type {Attempts} from './attempts.js';
import type {ClaimEvent, Claims} from './claims.js';
import type {SidecarEffect} from './message.js';
import type {Scheduler} from './scheduler.js';

/** Time for which a resumable attempt goes on without an entry, in milliseconds. */
const resumableMs = 10_000;

/** Time that an entry has to open a new link: it notices silence after 3 s and tries for 3 s more, in milliseconds. */
const reattachMs = 5000;

export type RunsParts = {
	readonly attempts: Attempts;
	readonly claims: Claims;
	readonly admission: Admission;
	readonly scheduler: Scheduler;
	readonly emit: (effect: SidecarEffect) => void;
};

/** Takes attempts from their start to their end. */
export class Runs {
	readonly #parts: RunsParts;
	#queued = 0;
	#unfinished = 0;

	constructor(parts: RunsParts) {
		this.#parts = parts;
	}

	/** Attempts that wait for a place. */
	get queued(): number {
		return this.#queued;
	}

	/** Attempts that have not ended. */
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
			ran: false,
			paused: false,
			headSeen: false,
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
			this.#parts.attempts.answerAbsent(link, message, now);
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
		// Another entry may follow the attempt by now.
		if (attempt?.link === link) {
			this.#leave(attempt, now);
		}
	}

	linkLost(link: string, now: number): void {
		for (const attempt of this.#parts.attempts.all()) {
			if (attempt.link === link) {
				this.#leave(attempt, now);
			}
		}
	}

	/** The endpoint is leaving: what it has not started goes back to the entries, which place it elsewhere. */
	leaving(now: number): void {
		for (const attempt of this.#parts.attempts.all()) {
			if (attempt.state === 'queued' || attempt.state === 'claiming') {
				this.#refuse(attempt, {reason: 'leaving', retryAfterMs: 0}, now);
			}
		}
	}

	/** After a pause of this process its entries may have moved queued work to other endpoints. */
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

		this.#parts.claims.note(id, event);
		switch (event.type) {
			case 'head': {
				attempt.headSeen = true;
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
					this.#end(attempt, brokenOutcome(attempt), event.reason, now);
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

	/** Gives up late work, fills free places and forgets old attempts. */
	advance(now: number): void {
		for (const attempt of this.#parts.attempts.takeDue(now)) {
			this.#onTime(attempt, now);
		}

		this.#parts.claims.advance(now);
		this.#takeClaims(now);
		for (const {ticket, refusal} of this.#parts.scheduler.expire(now)) {
			this.#refuse(this.#parts.attempts.get(ticket.attempt)!, refusal, now);
		}

		for (
			let ticket = this.#parts.scheduler.takeNext(now);
			ticket;
			ticket = this.#parts.scheduler.takeNext(now)
		) {
			this.#take(this.#parts.attempts.get(ticket.attempt)!, now);
		}

		this.#takeClaims(now);
	}

	/** Leaves an attempt without an entry: it goes on for a while, unless it has not started and nobody may come back for it. */
	#leave(attempt: Attempt, now: number): void {
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

	/** Stops an attempt that nobody wants any more; one that has not been handed over is refused, which proves that it did not run. */
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
		this.#close(attempt, now, {
			type: 'ended',
			attempt: attempt.id,
			outcome,
			sequence: attempt.sequence,
			reason,
		});
	}

	#refuse(attempt: Attempt, refusal: Refusal, now: number): void {
		attempt.ran = refusal.reason === 'duplicate';
		this.#parts.claims.release(attempt.id, now);
		this.#parts.scheduler.finish(attempt.id, false, now);
		this.#close(attempt, now, {type: 'refused', attempt: attempt.id, refusal});
	}

	#close(attempt: Attempt, now: number, final: Update): void {
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

	#takeClaims(now: number): void {
		const {effects, events} = this.#parts.claims.take();
		for (const effect of effects) {
			this.#parts.emit(effect);
		}

		for (const event of events) {
			this.#onClaim(event, now);
		}
	}

	/** Runs an attempt for which there is a place, after the claim that a non-idempotent one needs. */
	#take(attempt: Attempt, now: number): void {
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
				this.#onRecorded(attempt, event.record, now);
				break;
			}
		}
	}

	/** Answers a repeated request from the run record. */
	#onRecorded(
		attempt: Attempt,
		record: Extract<ClaimEvent, {type: 'replay'}>['record'],
		now: number,
	): void {
		attempt.ran = true;
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
		attempt.ran = true;
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

	#onTime(attempt: Attempt, now: number): void {
		if (attempt.state === 'ended') {
			this.#parts.attempts.forget(attempt, now);
			return;
		}

		const detached = attempt.forgetAt !== undefined && attempt.forgetAt <= now;
		this.#abandon(attempt, detached ? 'link lost' : 'deadline', now);
	}
}
