import type {
	AttemptStart,
	AttemptStatus,
	Outcome,
	Update,
} from '../../interfaces/index.js';
import type {AnswerBuffer} from './answer-buffer.js';

/** One try to run a request at the sidecar's endpoint. */
export type Attempt = {
	readonly id: string;
	readonly start: AttemptStart;
	/** Monotonic time, in milliseconds. */
	readonly deadline: number;
	/** Link to the entry that follows the attempt; undefined while there is none. */
	link: string | undefined;
	state: 'queued' | 'claiming' | 'running' | 'ended';
	/** Set when the request may have run, here or under an earlier use of its key. */
	ran: boolean;
	/** Set while reading from the endpoint is stopped. */
	paused: boolean;
	headSeen: boolean;
	/** Sequence number of the last chunk. */
	sequence: number;
	readonly buffer: AnswerBuffer;
	/** Present when the attempt has ended. */
	outcome: Outcome | undefined;
	/** Time at which a detached or ended attempt is forgotten, in milliseconds. */
	forgetAt: number | undefined;
};

/** Tells an entry that an attempt may have run, and that nothing more is known. */
export function forgotten(attempt: string): Update {
	return {
		type: 'ended',
		attempt,
		outcome: 'unknown',
		sequence: 0,
		reason: 'forgotten',
	};
}

/** Outcome of a call whose connection to the endpoint broke: without a head of the answer a plain service may or may not have acted. */
export function brokenOutcome(attempt: Attempt): 'failed' | 'unknown' {
	return attempt.start.idempotent || attempt.headSeen ? 'failed' : 'unknown';
}

/** What a caller that asks is told of an attempt. */
export function statusOf(attempt: Attempt): AttemptStatus {
	const {id, state, outcome, sequence} = attempt;
	return {
		attempt: id,
		state: state === 'claiming' ? 'queued' : state,
		outcome,
		sequence,
	};
}
