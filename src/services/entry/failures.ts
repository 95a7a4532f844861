import type {Outcome, RecordedRun, Refusal} from '../../interfaces/index.js';
import type {Failure} from './message.js';

/** Retry delay sent to callers when no sidecar has given one, in milliseconds. */
const defaultRetryMs = 1000;

export const entryLeaving: Failure = {
	status: 503,
	code: 'entry_leaving',
	text: 'this entry is stopping; use another one',
	retryAfterMs: 0,
};

export const timedOut: Failure = {
	status: 504,
	code: 'timeout',
	text: 'the request reached its timeout',
	retryAfterMs: undefined,
};

export const outcomeUnknown: Failure = {
	status: 502,
	code: 'outcome_unknown',
	text: 'the connection to the endpoint was lost; the request may have run',
	retryAfterMs: undefined,
};

export const answerCut: Failure = {
	status: 502,
	code: 'answer_cut',
	text: 'the endpoint failed and no other one could continue the answer',
	retryAfterMs: defaultRetryMs,
};

export const claimUnavailable: Failure = {
	status: 503,
	code: 'claim_unavailable',
	text: 'the table that guards against a second run cannot be reached at present',
	retryAfterMs: defaultRetryMs,
};

export const cancelledByCaller: Failure = {
	status: 499,
	code: 'cancelled',
	text: 'the request was cancelled by its workspace',
	retryAfterMs: undefined,
};

export const answerNotKept: Failure = {
	status: 404,
	code: 'answer_not_kept',
	text: 'this part of the answer is not kept, or the answer is not resumable',
	retryAfterMs: undefined,
};

export const linkLost: Failure = {
	status: 503,
	code: 'link_lost',
	text: 'the connection to the endpoint was lost; ask again with the last event id',
	retryAfterMs: defaultRetryMs,
};

export function endpointFailed(reason: string): Failure {
	return {
		status: 502,
		code: 'endpoint_failed',
		text: `the endpoint failed after the request had started: ${reason}`,
		retryAfterMs: undefined,
	};
}

/** Failure of a request that every endpoint has refused: overload takes precedence, and the shortest retry delay is used. */
export function refusedByAll(refusals: readonly Refusal[]): Failure {
	const overloaded = refusals.filter(({reason}) => reason === 'overloaded');
	const isOverloaded = overloaded.length > 0;
	const waits = (isOverloaded ? overloaded : refusals).map(
		(refusal) => refusal.retryAfterMs,
	);
	return {
		status: isOverloaded ? 429 : 503,
		code: isOverloaded ? 'overloaded' : 'no_endpoint',
		text: isOverloaded
			? 'no endpoint can meet the target of this class at present'
			: 'no endpoint can serve this request at present',
		retryAfterMs: waits.length > 0 ? Math.min(...waits) : defaultRetryMs,
	};
}

/** Outcome and failure returned for a repeated request, from the run record of the earlier one. */
export function repeatResult(run: RecordedRun): {
	outcome: Outcome;
	failure: Failure;
} {
	switch (run.state) {
		case 'running': {
			const text = 'a request with this key is still running';
			return resultWith('unknown', 409, 'still_running', text);
		}

		case 'completed': {
			const text = `a request with this key has completed with status ${run.status}; its answer is not kept`;
			return resultWith('completed', 409, 'already_completed', text);
		}

		case 'failed': {
			const text = 'a request with this key has started and failed';
			return resultWith('failed', 409, 'already_failed', text);
		}

		case 'unknown': {
			const text = 'a request with this key may have run';
			return resultWith('unknown', 409, 'outcome_unknown', text);
		}

		case 'mismatch': {
			const text = 'this key was used for another call; this call was not run';
			return resultWith('unknown', 422, 'key_reused', text);
		}
	}
}

function resultWith(
	outcome: Outcome,
	status: number,
	code: string,
	text: string,
): {outcome: Outcome; failure: Failure} {
	const retryAfterMs = code === 'still_running' ? defaultRetryMs : undefined;
	return {outcome, failure: {status, code, text, retryAfterMs}};
}
