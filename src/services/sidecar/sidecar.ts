import type {
	AttemptStart,
	EndpointEvent,
	EntryToSidecar,
	Outcome,
	Profile,
	Refusal,
	Update,
} from '../../platform/index.js';
import {Admission} from './admission.js';
import {AnswerBuffer} from './answer-buffer.js';
import {brokenOutcome, statusOf, type Attempt} from './attempt.js';
import {Attempts} from './attempts.js';
import {Claims, type ClaimEvent} from './claims.js';
import type {SidecarEffect, SidecarMessage} from './message.js';
import {type Scheduler} from './scheduler.js';

/** Time for which a resumable attempt goes on without an entry, in milliseconds. */
const resumableMs = 10_000;

/** Time that an entry has to open a new link: it notices silence after 3 s and tries for 3 s more, in milliseconds. */
const reattachMs = 5000;

/** An interval between messages that only a pause of the process explains, in milliseconds; entries give a link up after as long. */
const pauseMs = 3000;

/** Longest interval between messages while work is queued, so that a pause shows, in milliseconds. */
const checkMs = 1000;

/** Time for which a leaving sidecar waits for the table after its last attempt, in milliseconds. */
const drainMs = 5000;

export type SidecarOptions = {
	/** Name of the endpoint beside which it runs. */
	readonly endpoint?: string;
	/** Identity of this run of the process; a new one after each start. */
	readonly incarnation: string;
	readonly scheduler: Scheduler;
	/** Wall-clock time at monotonic time 0, in milliseconds since 1970; dates run records. */
	readonly epochMs?: number;
};

/** Decides for the one endpoint beside which it runs: which attempts run, in which order, and what the entries are told. */
export class Sidecar {
	readonly #options: SidecarOptions;
	readonly #attempts: Attempts;
	readonly #claims: Claims;
	readonly #admission: Admission;
	#queued = 0;
	#unfinished = 0;
	#handledAt: number | undefined;
	#drainBy: number | undefined;
	#drained = false;
	#effects: SidecarEffect[] = [];

	constructor(options: SidecarOptions) {
		this.#options = options;
		this.#attempts = new Attempts(options.incarnation, (effect) => {
			this.#effects.push(effect);
		});
		this.#admission = new Admission(options.incarnation);
		this.#claims = new Claims({
			endpoint: options.endpoint ?? options.incarnation,
			incarnation: options.incarnation,
			epochMs: options.epochMs ?? 0,
		});
	}

	handle(message: SidecarMessage, now: number): SidecarEffect[] {
		this.#effects = [];
		if (now - (this.#handledAt ?? now) > pauseMs) {
			this.#onPause(now);
		}

		this.#handledAt = now;
		switch (message.type) {
			case 'peer': {
				this.#onPeer(message.link, message.message, now);
				break;
			}

			case 'linkLost': {
				this.#onLinkLost(message.link, now);
				break;
			}

			case 'endpoint': {
				this.#onEndpoint(message.attempt, message.event, now);
				break;
			}

			case 'targets': {
				this.#admission.setTargets(message.targets);
				break;
			}

			case 'leave': {
				this.#admission.leave();
				this.#effects.push({type: 'log', event: 'leaving', fields: {}});
				break;
			}

			case 'load': {
				this.#options.scheduler.onLoadReport(message.report, now);
				break;
			}

			case 'cache': {
				this.#options.scheduler.onCacheEvents(message.events, now);
				break;
			}

			case 'table': {
				this.#claims.answer(message.id, message.answer, now);
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
			this.#attempts.nextWake(),
			this.#claims.nextWake(),
			this.#options.scheduler.nextWake(),
			this.#queued > 0 ? this.#handledAt! + checkMs : undefined,
			this.#drained ? undefined : this.#drainBy,
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return {
			incarnation: this.#options.incarnation,
			leaving: this.#admission.isLeaving,
			targets: this.#admission.targets,
			attempts: this.#attempts.all().map((attempt) => ({
				id: attempt.id,
				state: attempt.state,
				sequence: attempt.sequence,
				attached: attempt.link !== undefined,
				paused: attempt.paused,
			})),
			past: this.#attempts.pastSize,
			tableWork: this.#claims.size,
			scheduler: this.#options.scheduler.dump(),
		};
	}

	#onPeer(link: string, message: EntryToSidecar, now: number): void {
		switch (message.type) {
			case 'offer': {
				const refusal = this.#admission.refusal(message.profile);
				const reply = refusal
					? ({type: 'refuse', refusal} as const)
					: this.#options.scheduler.offer(message.profile, now);
				this.#effects.push({
					type: 'send',
					link,
					message: {type: 'offerReply', id: message.id, reply},
				});
				break;
			}

			case 'start': {
				this.#onStart(link, message, now);
				break;
			}

			case 'cancel': {
				this.#onCancel(link, message, now);
				break;
			}

			case 'detach': {
				this.#onDetach(link, message.attempt, now);
				break;
			}

			case 'query': {
				this.#onQuery(link, message, now);
				break;
			}

			case 'attach': {
				this.#attempts.attach(link, message, now);
				break;
			}

			case 'credit': {
				this.#attempts.credit(message.attempt, message.upTo);
				break;
			}
		}
	}

	#onStart(link: string, start: AttemptStart, now: number): void {
		if (this.#attempts.get(start.attempt)) {
			return;
		}

		const refusal = this.#attempts.isPast(start.attempt)
			? ({reason: 'cancelled', retryAfterMs: 0} as const)
			: this.#admission.refusalOfStart(start);
		if (refusal) {
			this.#attempts.send(link, {
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
		this.#attempts.add(attempt);
		this.#queued++;
		this.#unfinished++;
		const shed = this.#options.scheduler.enqueue(
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
			this.#refuse(this.#attempts.get(ticket.attempt)!, reason, now);
		}
	}

	#onCancel(
		link: string,
		message: Extract<EntryToSidecar, {type: 'cancel'}>,
		now: number,
	): void {
		const attempt = this.#attempts.get(message.attempt);
		if (!attempt) {
			this.#attempts.answerAbsent(link, message, now);
			return;
		}

		attempt.link = link;
		if (attempt.state === 'ended') {
			this.#attempts.replay(attempt, attempt.sequence);
		} else {
			this.#abandon(attempt, 'cancelled', now);
		}
	}

	#onQuery(
		link: string,
		message: Extract<EntryToSidecar, {type: 'query'}>,
		now: number,
	): void {
		const {id, requestId, workspace} = message;
		const attempt = this.#attempts.latest(requestId, workspace);
		if (attempt && message.cancel && attempt.state !== 'ended') {
			this.#abandon(attempt, 'withdrawn', now);
		}

		this.#effects.push({
			type: 'send',
			link,
			message: {type: 'queryReply', id, status: attempt && statusOf(attempt)},
		});
	}

	#onDetach(link: string, id: string, now: number): void {
		const attempt = this.#attempts.get(id);
		// Another entry may follow the attempt by now.
		if (attempt?.link === link) {
			this.#detach(attempt, now);
		}
	}

	#onLinkLost(link: string, now: number): void {
		for (const attempt of this.#attempts.all()) {
			if (attempt.link === link) {
				this.#detach(attempt, now);
			}
		}
	}

	/** Leaves an attempt without an entry: it goes on for a while, unless it has not started and nobody may come back for it. */
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
		this.#attempts.plan(attempt);
	}

	/** After a pause of this process its entries may have moved queued work to other endpoints. */
	#onPause(now: number): void {
		if (this.#queued === 0) {
			return;
		}

		this.#effects.push({type: 'log', event: 'paused', fields: {}});
		for (const attempt of this.#attempts.all()) {
			if (attempt.state === 'queued') {
				this.#abandon(attempt, 'paused', now);
			}
		}
	}

	#onEndpoint(id: string, event: EndpointEvent, now: number): void {
		const attempt = this.#attempts.get(id);
		if (attempt?.state !== 'running') {
			return;
		}

		this.#claims.note(id, event);
		switch (event.type) {
			case 'head': {
				attempt.headSeen = true;
				this.#attempts.update(attempt, {
					type: 'head',
					attempt: id,
					status: event.status,
					headers: event.headers,
					binary: event.binary,
				});
				break;
			}

			case 'chunk': {
				this.#options.scheduler.progress(id, event.tokens, now);
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

	#onChunk(attempt: Attempt, data: string, tokens: number): void {
		attempt.sequence++;
		this.#attempts.update(attempt, {
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
			this.#effects.push({type: 'stopRun', attempt: attempt.id});
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
		this.#claims.complete(attempt.id, outcome, now);
		this.#options.scheduler.finish(attempt.id, outcome === 'completed', now);
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
		this.#claims.release(attempt.id, now);
		this.#options.scheduler.finish(attempt.id, false, now);
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
		this.#attempts.plan(attempt);
		this.#attempts.update(attempt, final);
	}

	/** Gives up late work, fills free places and forgets old attempts. */
	#advance(now: number): void {
		for (const attempt of this.#attempts.takeDue(now)) {
			this.#onTime(attempt, now);
		}

		this.#claims.advance(now);
		this.#takeClaims(now);
		for (const {ticket, refusal} of this.#options.scheduler.expire(now)) {
			this.#refuse(this.#attempts.get(ticket.attempt)!, refusal, now);
		}

		for (
			let ticket = this.#options.scheduler.takeNext(now);
			ticket;
			ticket = this.#options.scheduler.takeNext(now)
		) {
			this.#take(this.#attempts.get(ticket.attempt)!, now);
		}

		this.#takeClaims(now);
		this.#drain(now);
	}

	#takeClaims(now: number): void {
		const {effects, events} = this.#claims.take();
		this.#effects.push(...effects);
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
			this.#claims.begin(attempt.start, attempt.deadline, now);
		}
	}

	#onClaim(event: ClaimEvent, now: number): void {
		const attempt = this.#attempts.get(event.attempt);
		if (attempt?.state !== 'claiming') {
			this.#claims.release(event.attempt, now);
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
		this.#attempts.update(attempt, {
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
		this.#attempts.plan(attempt);
		this.#attempts.update(attempt, {type: 'started', attempt: attempt.id});
		this.#effects.push({
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
			this.#attempts.forget(attempt, now);
			return;
		}

		const detached = attempt.forgetAt !== undefined && attempt.forgetAt <= now;
		this.#abandon(attempt, detached ? 'link lost' : 'deadline', now);
	}

	#drain(now: number): void {
		if (!this.#admission.isLeaving || this.#unfinished > 0 || this.#drained) {
			return;
		}

		this.#drainBy ??= now + drainMs;
		if (this.#claims.size === 0 || this.#drainBy <= now) {
			this.#drained = true;
			this.#effects.push({type: 'drained'});
		}
	}
}
