import type {Outcome, Refusal, Update} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {AnswerSoFar} from './answer-so-far.js';
import {formatEventId} from './event-id.js';
import type {CallerRequest, Failure, RequestStatus} from './message.js';

/** One try to run a request at an endpoint. */
export type EntryAttempt = {
	readonly id: string;
	readonly endpoint: EndpointView;
	/** Incarnation of the sidecar that it was sent to. */
	readonly incarnation: string;
	readonly sentAt: number;
	/** Time to the first token that the sidecar promised, in milliseconds. */
	readonly promisedMs: number;
	/** What the next chunk measures: nothing once the link was lost. */
	measures: 'firstToken' | 'gap' | 'nothing';
	lastChunkAt: number;
	/** The sidecar has handed the call to its endpoint. */
	started: boolean;
	/** Present while the link to the sidecar is lost. */
	detached: Detachment | undefined;
	/** Head of a hedge's answer, until the hedge wins. */
	head: Extract<Update, {type: 'head'}> | undefined;
	/** A gap in the chunks has been noticed, and the missing ones were asked for. */
	refetching: boolean;
};

/** Times of an attempt without a link, in milliseconds. */
export type Detachment = {
	/** The attempt is lost when there is no link by then. */
	readonly until: number;
	/** Next time to try to open one. */
	retryAt: number;
	/** The request to attach is on its way over the link that is being opened. */
	sent: boolean;
};

/** An endpoint that has accepted an offer, with the expected time to the first token in milliseconds. */
export type Accepted = {
	readonly endpoint: EndpointView;
	readonly firstTokenMs: number;
	/** Expected time with the handicap of a new endpoint; the smallest is chosen. */
	readonly score: number;
};

/** A request in progress. */
export type Progress = {
	readonly request: CallerRequest;
	/** Monotonic time, in milliseconds. */
	readonly deadline: number;
	/** Endpoints that have not been asked yet. */
	candidates: EndpointView[];
	/** Offers without a reply, by endpoint name. */
	readonly offers: Map<string, EndpointView>;
	offersExpireAt: number;
	accepted: Accepted[];
	readonly refusals: Refusal[];
	/** Endpoints asked so far, and rounds of offers since the last attempt. */
	asked: number;
	rounds: number;
	attempts: number;
	attempt: EntryAttempt | undefined;
	/** Second attempt beside the first one, while neither has delivered anything. */
	hedge: EntryAttempt | undefined;
	/** Time at which the first token is late; undefined when no hedge is wanted. */
	hedgeAt: number | undefined;
	/** Names of endpoints at which an attempt failed or was lost. */
	readonly failedAt: Set<string>;
	/** Attempts that are proved not to have run. */
	readonly superseded: string[];
	/** The run record is being asked about a lost attempt. */
	revoking: EntryAttempt | undefined;
	/** Set while the final answer waits for the sidecar's word on a cancelled attempt. */
	closing: {readonly until: number; readonly failure: Failure} | undefined;
	/** A place to continue the answer is looked for until then. */
	continueUntil: number;
	/** Time at which the endpoints are asked again; undefined when none is set. */
	continueAt: number | undefined;
	/** An earlier attempt has started. */
	ranBefore: boolean;
	/** It is not known of an earlier attempt whether it has started. */
	doubtful: boolean;
	headSent: boolean;
	/** Sequence number of the last chunk that was handed to the caller. */
	sequence: number;
	/** Sequence number of the last chunk that the caller has taken. */
	taken: number;
	/** HTTP status that the caller has been given. */
	status: number | undefined;
	readonly answer: AnswerSoFar;
	tokens: number;
	/** The caller has been told the outcome, or is gone. */
	ended: boolean;
	/** What the caller was told. */
	outcome: Outcome | undefined;
};

/** A request that has just arrived. */
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
		asked: 0,
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
		ranBefore: false,
		doubtful: false,
		headSent: false,
		sequence: 0,
		taken: 0,
		status: undefined,
		answer: new AnswerSoFar(textOf),
		tokens: 0,
		ended: false,
		outcome: undefined,
	};
}

/** Whether the chunks of the answer hold generated text, which an engine can continue. */
export function isGenerated({request, status}: Progress): boolean {
	return request.profile.kind === 'model' && (status ?? 200) === 200;
}

/** Outcome of a request that has no attempt any more and no whole answer: `not_run` only when every attempt is proved not to have run. */
export function outcomeWithoutAnswer(progress: Progress): Outcome {
	if (progress.ranBefore || progress.headSent) {
		return progress.request.idempotent ? 'failed' : 'unknown';
	}

	return progress.doubtful ? 'unknown' : 'not_run';
}

/** What a caller that asks is told of a request in progress. */
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

/** Time at which the entry must look at a request again. */
export function wakeOf(progress: Progress): number | undefined {
	if (progress.revoking) {
		return undefined;
	}

	if (progress.closing) {
		return progress.closing.until;
	}

	// The same order as in `RequestFlow.time`: a time that is not acted upon would wake the entry at once for ever.
	const detached = progress.attempt?.detached;
	const other =
		progress.continueAt ??
		(progress.offers.size > 0 ? progress.offersExpireAt : progress.hedgeAt);
	const next = detached
		? Math.min(detached.until, detached.retryAt)
		: (other ?? Number.POSITIVE_INFINITY);
	return Math.min(progress.deadline, next);
}
