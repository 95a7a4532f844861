import type {EntryToSidecar} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import type {EntryAttempt, Progress} from './progress.js';

/** Time within which a lost link must be open again, in milliseconds; its attempts count as lost after that. */
const reattachTimeoutMs = 3000;

/** Interval between two attempts to reopen a link, in milliseconds. */
const reopenIntervalMs = 200;

/** Reattaches attempts to their sidecars after links are lost and reopened. */
export class Attachments {
	readonly #send: (endpoint: EndpointView, message: EntryToSidecar) => void;

	constructor(send: (endpoint: EndpointView, message: EntryToSidecar) => void) {
		this.#send = send;
	}

	/** Requests missing chunks from the sidecar, once for each gap. */
	refetch(progress: Progress, attempt: EntryAttempt, now: number): void {
		if (!attempt.isRefetching) {
			attempt.isRefetching = true;
			this.#attach(progress, attempt, now);
		}
	}

	linkLost(progress: Progress, attempt: EntryAttempt, now: number): void {
		attempt.isRefetching = false;
		attempt.measures = 'nothing';
		if (attempt.detached) {
			attempt.detached.isAttachSent = false;
			attempt.detached.retryAt = now + reopenIntervalMs;
		} else {
			const until = now + reattachTimeoutMs;
			attempt.detached = {until, retryAt: now, isAttachSent: false};
			this.reopen(progress, attempt, now);
		}
	}

	/** Sends a request to attach, for which the daemon opens the link again. */
	reopen(progress: Progress, attempt: EntryAttempt, now: number): void {
		attempt.detached!.isAttachSent = true;
		attempt.detached!.retryAt = Number.POSITIVE_INFINITY;
		this.#attach(progress, attempt, now);
	}

	/** Called when the link is open again to the incarnation that the attempt was sent to. */
	linkUp(progress: Progress, attempt: EntryAttempt, now: number): void {
		if (!attempt.detached!.isAttachSent) {
			this.#attach(progress, attempt, now);
		}

		attempt.detached = undefined;
	}

	/** Sends the sidecar the last sequence number that the caller has acknowledged. */
	credit(progress: Progress, attempt: EntryAttempt): void {
		this.#send(attempt.endpoint, {
			type: 'credit',
			attempt: attempt.id,
			upTo: progress.acknowledgedUpTo,
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
		// A credit that was lost with the old link would leave the run paused for flow control.
		this.credit(progress, attempt);
	}
}
