import type {RetryMode} from '../../interfaces/index.js';

/** How a send of a request to an endpoint ended that may decide what follows. */
export type DecisiveEnd =
	/** No byte of the request was sent: there was no connection. */
	| {readonly type: 'unsent'; readonly reason: string}
	/** The endpoint states that it did not run the request. */
	| {
			readonly type: 'rejected';
			readonly status: number;
			readonly retryAfterMs: number | undefined;
	  }
	/** The endpoint's complete answer, not yet sent to the caller. */
	| {readonly type: 'answered'; readonly status: number}
	/** The complete answer was forwarded to the caller as it arrived. */
	| {readonly type: 'delivered'}
	/** The request may have run, and its answer is lost or unusable. */
	| {readonly type: 'broken'; readonly reason: string}
	/** The request may have run, and the endpoint refuses connections after it has been silent for longer than one that pauses. */
	| {readonly type: 'silent'; readonly reason: string}
	/** The request may have run, and the incarnation of the endpoint has ended. */
	| {readonly type: 'gone'; readonly reason: string}
	/** The gateway has cancelled it, because it may crash the endpoint or because the gateway stops. */
	| {readonly type: 'withdrawn'; readonly reason: string}
	/** The deadline of the request has passed. */
	| {readonly type: 'expired'}
	/** The endpoint to which the request was sent first was slow, and has answered after all. */
	| {readonly type: 'superseded'}
	/** The caller has disconnected. */
	| {readonly type: 'abandoned'};

/** How one send of a request to an endpoint ended. */
export type SendEnd =
	| DecisiveEnd
	/** The endpoint was slow, and another one has begun to answer. */
	| {readonly type: 'moved'; readonly reason: string};

/** What has happened to a request so far; input of `nextStep`. */
export type RequestState = {
	readonly retryMode: RetryMode;
	/** Sends that may have reached an endpoint. */
	readonly sends: number;
	readonly maxSends: number;
	/** Connections that failed before anything was sent. */
	readonly failedConnections: number;
	/** At least one send may have run. */
	readonly mayHaveRun: boolean;
	/** Part of the answer has been sent to the caller. */
	readonly isPartlyDelivered: boolean;
	/** Time left until the request expires, in milliseconds. */
	readonly remainingMs: number;
	/** The failure response of an earlier endpoint is kept and can be delivered. */
	readonly hasFailure: boolean;
	/** Another engine keeps a replica of the run's KV cache, and the caller has a part of the answer. */
	readonly hasBackup: boolean;
};

/** What the gateway does next with a request. */
export type NextStep =
	| {readonly type: 'send'}
	/** Continue the run on the engine that keeps its replica. */
	| {readonly type: 'resume'}
	/** Send the endpoint's answer to the caller. */
	| {readonly type: 'deliver'}
	/** Send the failure response of an earlier endpoint to the caller. */
	| {readonly type: 'deliver failure'}
	/** Answer that the request has not run, with a Retry-After. */
	| {
			readonly type: 'refuse';
			readonly reason: string;
			readonly retryAfterMs: number;
	  }
	/** Answer that the request may have run. */
	| {
			readonly type: 'fail';
			readonly status: 502 | 504;
			readonly reason: string;
	  }
	/** Abort the answer, so that it does not look complete. */
	| {readonly type: 'cut'; readonly reason: string}
	/** Nothing is left to do. */
	| {readonly type: 'done'};

/** Failed connections after which a request is refused. */
const maxFailedConnections = 3;

/** Minimum remaining time for another send, in milliseconds; no answer arrives in less. */
export const minSendMs = 40;

/** Retry-After of a refusal after a rejection without one, in milliseconds. */
const rejectedRetryAfterMs = 150;

/** Retry-After of a refusal after failed connections, in milliseconds. */
const unconnectedRetryAfterMs = 300;

/** Lowest HTTP status that is a failure of the endpoint. */
export const minServerErrorStatus = 500;

/**
 * Decides what follows the end of a send. `takeRetry` takes a retry from the shared
 * budget; it is called last, so that none is taken when there can be no retry.
 */
export function nextStep(
	end: DecisiveEnd,
	state: RequestState,
	takeRetry: () => boolean,
): NextStep {
	switch (end.type) {
		case 'unsent': {
			return canConnect(state)
				? {type: 'send'}
				: giveUp(state, 502, end.reason, unconnectedRetryAfterMs);
		}

		case 'rejected': {
			return canSend(state) && !isRepeatForbidden(state) && takeRetry()
				? {type: 'send'}
				: giveUp(
						state,
						502,
						`rejected with ${end.status}`,
						end.retryAfterMs ?? rejectedRetryAfterMs,
					);
		}

		case 'answered': {
			return afterAnswer(end.status, state, takeRetry);
		}

		case 'delivered': {
			return {type: 'done'};
		}

		case 'broken': {
			return sendAgain(state, takeRetry) ?? giveUp(state, 502, end.reason, 0);
		}

		case 'silent':
		case 'gone': {
			return sendAgain(state, takeRetry) ?? giveUp(state, 504, end.reason, 0);
		}

		case 'withdrawn': {
			return giveUp(state, 502, end.reason, rejectedRetryAfterMs);
		}

		case 'expired': {
			return giveUp(state, 504, 'expired', rejectedRetryAfterMs);
		}

		case 'superseded':
		case 'abandoned': {
			return {type: 'done'};
		}
	}
}

/** Whether an end of a send is the answer that the caller gets, so that no other send of the request is needed. */
export function isAnswer(end: SendEnd, isPartlyDelivered: boolean): boolean {
	return (
		end.type === 'delivered' ||
		(end.type === 'answered' &&
			end.status < minServerErrorStatus &&
			!isPartlyDelivered)
	);
}

/** Whether a request whose endpoint is slow may be sent to another one as well; the sends in progress count among its sends. `takeRetry` is called last. */
export function mayHedge(
	state: RequestState,
	takeRetry: () => boolean,
): boolean {
	return canRepeat(state, takeRetry);
}

function afterAnswer(
	status: number,
	state: RequestState,
	takeRetry: () => boolean,
): NextStep {
	const isFailure = status >= minServerErrorStatus;
	if (isFailure && canRepeat(state, takeRetry)) {
		return {type: 'send'};
	}

	return state.isPartlyDelivered
		? {type: 'cut', reason: `status ${status} in place of the rest`}
		: {type: 'deliver'};
}

function canConnect(state: RequestState): boolean {
	return (
		state.failedConnections < maxFailedConnections &&
		state.remainingMs >= minSendMs &&
		!isRepeatForbidden(state)
	);
}

function canSend(state: RequestState): boolean {
	return state.sends < state.maxSends && state.remainingMs >= minSendMs;
}

/** Whether the request may run once more. A run of one that cannot be resumed could not replace an answer that has begun. */
function canRepeat(state: RequestState, takeRetry: () => boolean): boolean {
	const mayRun =
		state.retryMode === 'resumable' ||
		(state.retryMode === 'idempotent' && !state.isPartlyDelivered);
	return mayRun && canSend(state) && takeRetry();
}

/** Next send after one that may have run; undefined when none is allowed. */
function sendAgain(
	state: RequestState,
	takeRetry: () => boolean,
): NextStep | undefined {
	if (mayResume(state, takeRetry)) {
		return {type: 'resume'};
	}

	return canRepeat(state, takeRetry) ? {type: 'send'} : undefined;
}

/** Whether the request runs at most once and may have run. Only a replica may then continue the run, and the send that resumes it may itself end as unsent or rejected. */
function isRepeatForbidden({retryMode, mayHaveRun}: RequestState): boolean {
	return retryMode === 'once' && mayHaveRun;
}

/** Whether the run may continue on the engine that keeps its replica. That is no second run, so every retry mode allows it. `takeRetry` is called last. */
export function mayResume(
	state: RequestState,
	takeRetry: () => boolean,
): boolean {
	return state.hasBackup && state.remainingMs >= minSendMs && takeRetry();
}

function giveUp(
	state: RequestState,
	status: 502 | 504,
	reason: string,
	retryAfterMs: number,
): NextStep {
	if (state.isPartlyDelivered) {
		return {type: 'cut', reason};
	}

	if (state.hasFailure) {
		return {type: 'deliver failure'};
	}

	return state.mayHaveRun
		? {type: 'fail', status, reason}
		: {type: 'refuse', reason, retryAfterMs};
}
