import type {Outcome, Refusal, Update} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {PartialAnswer} from './partial-answer.js';
import {formatEventId} from './event-id.js';
import type {CallerRequest, Failure, RequestStatus} from './message.js';

/** One attempt to run a request at an endpoint. */
export type EntryAttempt = {
	readonly id: string;
	readonly endpoint: EndpointView;
	/** Incarnation of the sidecar that the attempt was sent to. */
	readonly incarnation: string;
	readonly sentAt: number;
	/** Time to the first token that the sidecar promised, in milliseconds. */
	readonly promisedMs: number;
	/** Which latency the next chunk shows: none once the link was lost. */
	measures: 'firstToken' | 'gap' | 'nothing';
	lastChunkAt: number;
	/** The sidecar has sent the call to its endpoint. */
	started: boolean;
	/** Present while the link to the sidecar is lost. */
	detached: Detachment | undefined;
	/** Head of a hedge's answer, held back until the hedge wins. */
	head: Extract<Update, {type: 'head'}> | undefined;
	/** Chunks are missing and have been requested again. */
	isRefetching: boolean;
};

/** State of an attempt without a link; times are monotonic, in milliseconds. */
export type Detachment = {
	/** Time at which the attempt counts as lost if there is still no link. */
	readonly until: number;
	/** Time of the next attempt to open a link. */
	retryAt: number;
	/** A request to attach is queued on the link that is being opened. */
	isAttachSent: boolean;
};

/** An endpoint that has accepted an offer, with its promised time to the first token in milliseconds. */
export type AcceptedOffer = {
	readonly endpoint: EndpointView;
	readonly firstTokenMs: number;
	/** Promised time plus the slow-start penalty, in milliseconds; the smallest score is chosen. */
	readonly score: number;
};

/** State of a request in progress; times are monotonic, in milliseconds. */
export type Progress = {
	readonly request: CallerRequest;
	readonly deadline: number;
	/** Endpoints that have not been sent an offer yet. */
	candidates: EndpointView[];
	/** Offers without a reply, by endpoint name. */
	readonly offers: Map<string, EndpointView>;
	offersExpireAt: number;
	accepted: AcceptedOffer[];
	readonly refusals: Refusal[];
	/** Number of offers sent so far. */
	offersSent: number;
	/** Rounds of offers since the selection was last reset. */
	rounds: number;
	attempts: number;
	attempt: EntryAttempt | undefined;
	/** Second attempt in parallel to the first one, while neither has delivered a chunk. */
	hedge: EntryAttempt | undefined;
	/** Time at which a hedge is started; undefined when none is planned. */
	hedgeAt: number | undefined;
	/** Names of endpoints at which an attempt failed or was lost. */
	readonly failedAt: Set<string>;
	/** Ids of attempts that are proved not to have run. */
	readonly superseded: string[];
	/** Lost attempt that is being revoked in its run record. */
	revoking: EntryAttempt | undefined;
	/** Set while the end of the request waits for the sidecar's report on a cancelled attempt. */
	closing: {readonly until: number; readonly failure: Failure} | undefined;
	/** Time until which an endpoint to continue the answer is searched for. */
	continueUntil: number;
	/** Time at which the selection is repeated; undefined when no repetition is due. */
	continueAt: number | undefined;
	/** An earlier attempt has started. */
	hasStartedBefore: boolean;
	/** An earlier attempt may have started. */
	hasUncertainAttempt: boolean;
	isHeadSent: boolean;
	/** Sequence number of the last chunk that was emitted to the caller. */
	sequence: number;
	/** Sequence number of the last chunk that the caller's connection has accepted. */
	acknowledgedUpTo: number;
	/** HTTP status that was emitted to the caller. */
	status: number | undefined;
	readonly answer: PartialAnswer;
	tokens: number;
	/** The outcome was emitted, or the caller has disconnected. */
	ended: boolean;
	/** Outcome that was emitted to the caller. */
	outcome: Outcome | undefined;
};

export function newProgress(
	request: CallerRequest,
	textOf: (chunks: readonly string[]) => string,
	now: number,
): Progress {
	return {
		request,
		deadline: now + request.timeoutMs,
		candidates: [],
		offers: new Map(),
		offersExpireAt: 0,
		accepted: [],
		refusals: [],
		offersSent: 0,
		rounds: 0,
		attempts: 0,
		attempt: undefined,
		hedge: undefined,
		hedgeAt: undefined,
		failedAt: new Set(),
		superseded: [],
		revoking: undefined,
		closing: undefined,
		continueUntil: 0,
		continueAt: undefined,
		hasStartedBefore: false,
		hasUncertainAttempt: false,
		isHeadSent: false,
		sequence: 0,
		acknowledgedUpTo: 0,
		status: undefined,
		answer: new PartialAnswer(textOf),
		tokens: 0,
		ended: false,
		outcome: undefined,
	};
}

/** Whether the chunks of the answer hold generated text, which another engine can continue. */
export function isGenerated({request, status}: Progress): boolean {
	return request.profile.kind === 'model' && (status ?? 200) === 200;
}

/** Outcome of a request that ends without a complete answer: `not_run` only when every attempt is proved not to have run. */
export function outcomeWithoutAnswer(progress: Progress): Outcome {
	if (progress.hasStartedBefore || progress.isHeadSent) {
		return progress.request.idempotent ? 'failed' : 'unknown';
	}

	return progress.hasUncertainAttempt ? 'unknown' : 'not_run';
}

/** State of a request in progress, for a caller that queries it. */
export function requestStatus(progress: Progress): RequestStatus {
	const {attempt, sequence, outcome, ended} = progress;
	return {
		state: ended ? 'ended' : attempt?.started ? 'running' : 'queued',
		outcome,
		eventId:
			attempt &&
			formatEventId({
				endpoint: attempt.endpoint.name,
				attempt: attempt.id,
				sequence,
			}),
	};
}

/** Time of the next timer of a request; undefined while it only waits for a revocation. */
export function nextWakeOf(progress: Progress): number | undefined {
	if (progress.revoking) {
		return undefined;
	}

	if (progress.closing) {
		return progress.closing.until;
	}

	// Must follow the order of checks in `RequestFlow.handleDue`: a due time that it does not handle would wake the entry in an endless loop.
	const detached = progress.attempt?.detached;
	const other =
		progress.continueAt ??
		(progress.offers.size > 0 ? progress.offersExpireAt : progress.hedgeAt);
	const next = detached
		? Math.min(detached.until, detached.retryAt)
		: (other ?? Number.POSITIVE_INFINITY);
	return Math.min(progress.deadline, next);
}
