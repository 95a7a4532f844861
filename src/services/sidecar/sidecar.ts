import type {
	AttemptStart,
	EndpointEvent,
	EntryToSidecar,
	Outcome,
	Profile,
	Refusal,
	Update,
} from '../../platform/index.js';
import type {SidecarEffect, SidecarMessage} from './message.js';
import {type Scheduler} from './scheduler.js';

/** Time for which a finished, cancelled or detached attempt is remembered, in milliseconds. */
const retentionMs = 10_000;

type AttemptState = 'queued' | 'running' | 'ended';

type Attempt = {
	readonly start: AttemptStart;
	link: string | undefined;
	state: AttemptState;
	sequence: number;
	/** Updates after the entry's last acknowledgement, kept for `attach`. */
	readonly updates: Update[];
	/** Time at which a detached or ended attempt is forgotten. */
	forgetAt: number | undefined;
};

export type SidecarOptions = {
	/** Identity of this run of the process; a new one after each start. */
	readonly incarnation: string;
	readonly scheduler: Scheduler;
};

/** Decides for the one endpoint beside which it runs: which attempts run, in which order, and what the entries are told. */
export class Sidecar {
	readonly #options: SidecarOptions;
	readonly #attempts = new Map<string, Attempt>();
	/** Attempts that were cancelled before their start arrived, with the time at which to forget them. */
	readonly #tombstones = new Map<string, number>();
	#targets = new Set<string>();
	#leaving = false;
	#effects: SidecarEffect[] = [];

	constructor(options: SidecarOptions) {
		this.#options = options;
	}

	handle(message: SidecarMessage, now: number): SidecarEffect[] {
		this.#effects = [];
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
				this.#targets = new Set(message.targets);
				break;
			}

			case 'leave': {
				this.#leaving = true;
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

			case 'table':
			case 'tick': {
				break;
			}
		}

		this.#advance(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [...this.#attempts.values()]
			.map((attempt) => attempt.forgetAt)
			.filter((time) => time !== undefined);
		const scheduled = this.#options.scheduler.nextWake();
		if (scheduled !== undefined) {
			times.push(scheduled);
		}

		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return {
			incarnation: this.#options.incarnation,
			leaving: this.#leaving,
			targets: [...this.#targets],
			attempts: [...this.#attempts].map(([id, attempt]) => ({
				id,
				state: attempt.state,
				sequence: attempt.sequence,
			})),
			scheduler: this.#options.scheduler.dump(),
		};
	}

	#onPeer(link: string, message: EntryToSidecar, now: number): void {
		switch (message.type) {
			case 'offer': {
				const refusal = this.#refusalFor(message.profile);
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
				this.#onCancel(link, message.attempt, now);
				break;
			}

			case 'attach': {
				this.#onAttach(link, message, now);
				break;
			}

			case 'credit': {
				this.#onCredit(message.attempt, message.upTo);
				break;
			}
		}
	}

	#onStart(link: string, start: AttemptStart, now: number): void {
		if (this.#attempts.has(start.attempt)) {
			return;
		}

		const refusal =
			start.incarnation === this.#options.incarnation
				? this.#tombstones.has(start.attempt)
					? ({reason: 'cancelled', retryAfterMs: 0} as const)
					: this.#refusalFor(start.profile)
				: ({reason: 'wrong_incarnation', retryAfterMs: 0} as const);
		if (refusal) {
			this.#sendUpdate(link, {
				type: 'refused',
				attempt: start.attempt,
				refusal,
			});
			return;
		}

		this.#attempts.set(start.attempt, {
			start,
			link,
			state: 'queued',
			sequence: start.resume?.sequence ?? 0,
			updates: [],
			forgetAt: undefined,
		});
		const shed = this.#options.scheduler.enqueue(
			{
				attempt: start.attempt,
				profile: start.profile,
				arrivedAt: now,
				deadline: now + start.remainingMs,
				resumedTokens: start.resume?.tokens ?? 0,
			},
			now,
		);
		for (const {ticket, refusal: reason} of shed) {
			this.#refuse(ticket.attempt, reason, now);
		}
	}

	#onCancel(link: string, id: string, now: number): void {
		const attempt = this.#attempts.get(id);
		if (!attempt) {
			this.#tombstones.set(id, now + retentionMs);
			this.#sendUpdate(link, {
				type: 'refused',
				attempt: id,
				refusal: {reason: 'cancelled', retryAfterMs: 0},
			});
			return;
		}

		attempt.link = link;
		switch (attempt.state) {
			case 'queued': {
				this.#options.scheduler.finish(id, false, now);
				this.#refuse(id, {reason: 'cancelled', retryAfterMs: 0}, now);
				break;
			}

			case 'running': {
				this.#stop(id, 'failed', 'cancelled', now);
				break;
			}

			case 'ended': {
				this.#replay(attempt, attempt.sequence);
				break;
			}
		}
	}

	#onAttach(
		link: string,
		message: Extract<EntryToSidecar, {type: 'attach'}>,
		now: number,
	): void {
		const attempt = this.#attempts.get(message.attempt);
		if (attempt?.start.profile.contract.workspace !== message.workspace) {
			this.#tombstones.set(message.attempt, now + retentionMs);
			this.#sendUpdate(link, {
				type: 'refused',
				attempt: message.attempt,
				refusal: {reason: 'cancelled', retryAfterMs: 0},
			});
			return;
		}

		attempt.link = link;
		if (attempt.state !== 'ended') {
			attempt.forgetAt = undefined;
		}

		this.#replay(attempt, message.after);
	}

	#replay(attempt: Attempt, after: number): void {
		for (const update of attempt.updates) {
			if (update.type !== 'chunk' || update.sequence > after) {
				this.#sendUpdate(attempt.link, update);
			}
		}
	}

	#onCredit(id: string, upTo: number): void {
		const attempt = this.#attempts.get(id);
		if (!attempt) {
			return;
		}

		const kept = attempt.updates.findIndex(
			(update) => update.type === 'chunk' && update.sequence > upTo,
		);
		if (kept > 0) {
			attempt.updates.splice(0, kept);
		}
	}

	#onLinkLost(link: string, now: number): void {
		for (const [id, attempt] of this.#attempts) {
			if (attempt.link !== link) {
				continue;
			}

			attempt.link = undefined;
			attempt.forgetAt ??= now + retentionMs;
			if (attempt.state !== 'ended' && !attempt.start.resumable) {
				this.#options.scheduler.finish(id, false, now);
				if (attempt.state === 'running') {
					this.#stop(id, 'failed', 'link lost', now);
				} else {
					this.#refuse(id, {reason: 'cancelled', retryAfterMs: 0}, now);
				}
			}
		}
	}

	#onEndpoint(id: string, event: EndpointEvent, now: number): void {
		const attempt = this.#attempts.get(id);
		if (attempt?.state !== 'running') {
			return;
		}

		switch (event.type) {
			case 'head': {
				this.#update(attempt, {
					type: 'head',
					attempt: id,
					status: event.status,
					headers: event.headers,
					binary: event.binary,
				});
				break;
			}

			case 'chunk': {
				attempt.sequence++;
				this.#options.scheduler.progress(id, event.tokens, now);
				this.#update(attempt, {
					type: 'chunk',
					attempt: id,
					sequence: attempt.sequence,
					data: event.data,
					tokens: event.tokens,
				});
				break;
			}

			case 'end': {
				this.#end(id, 'completed', '', now);
				break;
			}

			case 'error': {
				if (event.sent) {
					this.#end(id, 'failed', event.reason, now);
				} else {
					this.#options.scheduler.finish(id, false, now);
					this.#refuse(id, {reason: 'overloaded', retryAfterMs: 1000}, now);
				}

				break;
			}
		}
	}

	#stop(id: string, outcome: Outcome, reason: string, now: number): void {
		this.#effects.push({type: 'stopRun', attempt: id});
		this.#end(id, outcome, reason, now);
	}

	#end(id: string, outcome: Outcome, reason: string, now: number): void {
		const attempt = this.#attempts.get(id)!;
		this.#options.scheduler.finish(id, outcome === 'completed', now);
		attempt.state = 'ended';
		attempt.forgetAt = now + retentionMs;
		this.#update(attempt, {
			type: 'ended',
			attempt: id,
			outcome,
			sequence: attempt.sequence,
			reason,
		});
	}

	#refuse(id: string, refusal: Refusal, now: number): void {
		const attempt = this.#attempts.get(id)!;
		attempt.state = 'ended';
		attempt.forgetAt = now + retentionMs;
		this.#update(attempt, {type: 'refused', attempt: id, refusal});
	}

	#update(attempt: Attempt, update: Update): void {
		attempt.updates.push(update);
		this.#sendUpdate(attempt.link, update);
	}

	#sendUpdate(link: string | undefined, update: Update): void {
		if (link !== undefined) {
			this.#effects.push({
				type: 'send',
				link,
				message: {type: 'update', update},
			});
		}
	}

	#refusalFor(profile: Profile): Refusal | undefined {
		if (this.#leaving) {
			return {reason: 'leaving', retryAfterMs: 0};
		}

		return this.#targets.has(profile.target)
			? undefined
			: {reason: 'not_eligible', retryAfterMs: 0};
	}

	/** Gives up late work, fills free places and forgets old attempts. */
	#advance(now: number): void {
		for (const {ticket, refusal} of this.#options.scheduler.expire(now)) {
			this.#refuse(ticket.attempt, refusal, now);
		}

		for (
			let ticket = this.#options.scheduler.takeNext(now);
			ticket;
			ticket = this.#options.scheduler.takeNext(now)
		) {
			this.#run(ticket.attempt);
		}

		this.#forget(now);
		if (
			this.#leaving &&
			[...this.#attempts.values()].every(({state}) => state === 'ended')
		) {
			this.#effects.push({type: 'drained'});
		}
	}

	#run(id: string): void {
		const attempt = this.#attempts.get(id)!;
		attempt.state = 'running';
		this.#update(attempt, {type: 'started', attempt: id});
		this.#effects.push({
			type: 'run',
			attempt: id,
			requestId: attempt.start.requestId,
			call: attempt.start.call,
			priority: attempt.start.profile.contract.tier,
			resume: attempt.start.resume,
		});
	}

	#forget(now: number): void {
		for (const [id, attempt] of this.#attempts) {
			if (attempt.forgetAt !== undefined && attempt.forgetAt <= now) {
				if (attempt.state !== 'ended') {
					this.#options.scheduler.finish(id, false, now);
					this.#effects.push({type: 'stopRun', attempt: id});
				}

				this.#attempts.delete(id);
				// A start that was delayed past this point must still be refused.
				this.#tombstones.set(id, now + retentionMs);
			}
		}

		for (const [id, time] of this.#tombstones) {
			if (time <= now) {
				this.#tombstones.delete(id);
			}
		}
	}
}
