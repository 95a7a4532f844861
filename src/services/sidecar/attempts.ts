import {Timers} from '../../base/index.js';
import type {EntryToSidecar, Update} from '../../interfaces/index.js';
import {windowSize} from './answer-buffer.js';
import {forgottenUpdate, type Attempt} from './attempt.js';
import type {SidecarEffect} from './message.js';
import {PastAttempts} from './past-attempts.js';

type Cancel = Extract<EntryToSidecar, {type: 'cancel'}>;
type Attach = Extract<EntryToSidecar, {type: 'attach'}>;

/** The attempts that the sidecar tracks, and the updates that it sends to their entries. */
export class Attempts {
	readonly #incarnation: string;
	readonly #emit: (effect: SidecarEffect) => void;
	readonly #attempts = new Map<string, Attempt>();
	readonly #past = new PastAttempts();
	/** Next time at which each attempt is stopped or forgotten. */
	readonly #timers = new Timers();

	constructor(incarnation: string, emit: (effect: SidecarEffect) => void) {
		this.#incarnation = incarnation;
		this.#emit = emit;
	}

	get pastSize(): number {
		return this.#past.size;
	}

	add(attempt: Attempt): void {
		this.#attempts.set(attempt.id, attempt);
	}

	get(id: string): Attempt | undefined {
		return this.#attempts.get(id);
	}

	all(): Attempt[] {
		return [...this.#attempts.values()];
	}

	/** Whether an attempt was already cancelled or forgotten, so that its start must be refused. */
	isPast(id: string): boolean {
		return this.#past.has(id);
	}

	nextWake(): number | undefined {
		return this.#timers.earliest();
	}

	/** Removes the timers that are due and returns their attempts, which are to be stopped or forgotten. */
	takeDue(now: number): Attempt[] {
		this.#past.advance(now);
		return this.#timers.takeDue(now).map((id) => this.#attempts.get(id)!);
	}

	/** Sets the attempt's timer: its deadline while it runs, or the time at which it is forgotten. */
	plan(attempt: Attempt): void {
		const never = Number.POSITIVE_INFINITY;
		const deadline = attempt.state === 'running' ? attempt.deadline : never;
		const time = Math.min(deadline, attempt.forgetAt ?? never);
		this.#timers.set(attempt.id, Number.isFinite(time) ? time : undefined);
	}

	forget(attempt: Attempt, now: number): void {
		this.#attempts.delete(attempt.id);
		this.#past.add(attempt.id, attempt.hasRun ? 'ran' : 'not_run', now);
	}

	/** Buffers an update and sends it; pauses the run when too much data is unacknowledged. */
	update(attempt: Attempt, update: Update): void {
		attempt.buffer.add(update);
		this.send(attempt.link, update);
		if (
			attempt.state === 'running' &&
			!attempt.paused &&
			attempt.buffer.unacknowledgedSize > windowSize
		) {
			attempt.paused = true;
			this.#emit({type: 'pauseRun', attempt: attempt.id});
		}
	}

	send(link: string | undefined, update: Update): void {
		if (link !== undefined) {
			this.#emit({type: 'send', link, message: {type: 'update', update}});
		}
	}

	credit(id: string, upTo: number): void {
		const attempt = this.#attempts.get(id);
		if (!attempt) {
			return;
		}

		attempt.buffer.acknowledge(upTo);
		if (
			attempt.paused &&
			attempt.state === 'running' &&
			attempt.buffer.unacknowledgedSize <= windowSize / 2
		) {
			attempt.paused = false;
			this.#emit({type: 'resumeRun', attempt: id});
		}
	}

	attach(link: string, message: Attach, now: number): void {
		const attempt = this.#attempts.get(message.attempt);
		if (!attempt) {
			this.answerForUnknown(link, message, now);
			return;
		}

		const {profile, resumable} = attempt.start;
		const isSameWorkspace = profile.contract.workspace === message.workspace;
		if (!isSameWorkspace || (message.ageMs === undefined && !resumable)) {
			this.send(link, forgottenUpdate(message.attempt));
			return;
		}

		attempt.link = link;
		if (attempt.state !== 'ended') {
			attempt.forgetAt = undefined;
			this.plan(attempt);
		}

		this.replay(attempt, message.after);
	}

	/** The latest attempt for a request of a workspace. */
	latest(requestId: string, workspace: string): Attempt | undefined {
		return this.all().findLast(
			({start}) =>
				start.requestId === requestId &&
				start.profile.contract.workspace === workspace,
		);
	}

	/** Answers a message about an attempt that is not tracked, and ensures that it does not run if it arrives later. */
	answerForUnknown(link: string, message: Cancel | Attach, now: number): void {
		const {attempt, incarnation, ageMs} = message;
		const isThisIncarnation =
			incarnation === undefined || incarnation === this.#incarnation;
		const execution = this.#past.executionOf(
			attempt,
			isThisIncarnation ? ageMs : undefined,
		);
		if (
			execution !== 'ran' &&
			(message.type === 'cancel' || ageMs !== undefined)
		) {
			this.#past.add(attempt, 'not_run', now);
		}

		if (execution === 'not_run') {
			const refusal = {reason: 'cancelled', retryAfterMs: 0} as const;
			this.send(link, {type: 'refused', attempt, refusal});
		} else {
			this.send(link, forgottenUpdate(attempt));
		}
	}

	/** Resends the updates after a sequence number. */
	replay(attempt: Attempt, after: number): void {
		const updates = attempt.buffer.after(after) ?? [
			forgottenUpdate(attempt.id),
		];
		for (const update of updates) {
			this.send(attempt.link, update);
		}
	}
}
