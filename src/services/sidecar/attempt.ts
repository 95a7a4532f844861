import type {
	AttemptStart,
	AttemptStatus,
	Outcome,
	Update,
} from '../../interfaces/index.js';
import type {AnswerBuffer} from './answer-buffer.js';

/** One attempt to run a request at the sidecar's endpoint. */
export type Attempt = {
	readonly id: string;
	readonly start: AttemptStart;
	/** Monotonic time, in milliseconds. */
	readonly deadline: number;
	/** Link to the entry that receives the updates; undefined while the attempt is detached. */
	link: string | undefined;
	state: 'queued' | 'claiming' | 'running' | 'ended';
	/** True when the request may have run, here or in an earlier request with its key. */
	hasRun: boolean;
	/** True while reading from the endpoint is paused. */
	paused: boolean;
	hasHead: boolean;
	/** Sequence number of the last chunk. */
	sequence: number;
	readonly buffer: AnswerBuffer;
	/** Present when the attempt has ended. */
	outcome: Outcome | undefined;
	/** Time at which a detached or ended attempt is forgotten, in milliseconds. */
	forgetAt: number | undefined;
};

/** Update for an attempt that may have run and of which nothing more is known. */
export function forgottenUpdate(attempt: string): Update {
	return {
		type: 'ended',
		attempt,
		outcome: 'unknown',
		sequence: 0,
		reason: 'forgotten',
	};
}

/** Outcome of a call whose connection to the endpoint broke: before the response head, a non-idempotent call may or may not have taken effect. */
export function outcomeOfBrokenCall(attempt: Attempt): 'failed' | 'unknown' {
	return attempt.start.idempotent || attempt.hasHead ? 'failed' : 'unknown';
}

/** Status of an attempt as reported to a query; a pending claim counts as queued. */
export function statusOf(attempt: Attempt): AttemptStatus {
	const {id, state, outcome, sequence} = attempt;
	return {
		attempt: id,
		state: state === 'claiming' ? 'queued' : state,
		outcome,
		sequence,
	};
}
