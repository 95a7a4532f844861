import type {EntryToSidecar} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Time within which a lost link must be open again, in milliseconds; after that its attempts are lost. */
const reattachMs = 3000;

/** Pause between two tries to open a link again, in milliseconds. */
const reopenPauseMs = 200;

/** Keeps attempts connected to their sidecars when links are lost and opened again. */
export class Attachments {
	readonly #send: (endpoint: EndpointView, message: EntryToSidecar) => void;

	constructor(send: (endpoint: EndpointView, message: EntryToSidecar) => void) {
		this.#send = send;
	}

	/** Asks the sidecar for what is missing, once for each gap. */
	refetch(progress: Progress, attempt: EntryAttempt, now: number): void {
		if (!attempt.refetching) {
			attempt.refetching = true;
			this.#attach(progress, attempt, now);
		}
	}

	linkLost(progress: Progress, attempt: EntryAttempt, now: number): void {
		attempt.refetching = false;
		attempt.measures = 'nothing';
		if (attempt.detached) {
			attempt.detached.sent = false;
			attempt.detached.retryAt = now + reopenPauseMs;
		} else {
			const until = now + reattachMs;
			attempt.detached = {until, retryAt: now, sent: false};
			this.reopen(progress, attempt, now);
		}
	}

	/** Opens the link again by a request to attach. */
	reopen(progress: Progress, attempt: EntryAttempt, now: number): void {
		attempt.detached!.sent = true;
		attempt.detached!.retryAt = Number.POSITIVE_INFINITY;
		this.#attach(progress, attempt, now);
	}

	/** The link is open again, to the incarnation to which the attempt was sent. */
	linkUp(progress: Progress, attempt: EntryAttempt, now: number): void {
		if (!attempt.detached!.sent) {
			this.#attach(progress, attempt, now);
		}

		attempt.detached = undefined;
	}

	/** Tells the sidecar how much of the answer the caller has taken. */
	credit(progress: Progress, attempt: EntryAttempt): void {
		this.#send(attempt.endpoint, {
			type: 'credit',
			attempt: attempt.id,
			upTo: progress.taken,
		});
	}

	#attach(progress: Progress, attempt: EntryAttempt, now: number): void {
		this.#send(attempt.endpoint, {
			type: 'attach',
			attempt: attempt.id,
			incarnation: attempt.incarnation,
			ageMs: now - attempt.sentAt,
			workspace: progress.request.profile.contract.workspace,
			after: progress.sequence,
		});
		// A credit that was lost with the old link would leave the run paused.
		this.credit(progress, attempt);
	}
}
