import {Timers} from '../../base/index.js';
import type {
	AttemptStatus,
	EntryToSidecar,
	Outcome,
} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {formatEventId} from './event-id.js';
import type {EntryEffect, EntryMessage, RequestStatus} from './message.js';

/** Maximum time to wait for the sidecars' replies to a query, in milliseconds. */
const queryTimeoutMs = 500;

/** Maximum number of endpoints that one query is sent to. */
const maxQueried = 64;

/** Maximum number of ended requests whose outcome the entry keeps; the oldest is evicted first. */
const maxEnded = 10_000;

type Query = {
	readonly id: string;
	/** Endpoints that have not replied. */
	readonly outstanding: Set<string>;
	/** Status of the latest attempt reported so far. */
	latest: {endpoint: string; status: AttemptStatus} | undefined;
};

type EndedRequest = {readonly workspace: string; readonly outcome: Outcome};

export type QueriesOptions = {
	readonly emit: (effect: EntryEffect) => void;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Looks up the state of requests that are not in progress at this entry, from recent outcomes or from the sidecars. */
export class Queries {
	readonly #options: QueriesOptions;
	readonly #queries = new Map<string, Query>();
	readonly #timers = new Timers();
	readonly #ended = new Map<string, EndedRequest>();

	constructor(options: QueriesOptions) {
		this.#options = options;
	}

	nextWake(): number | undefined {
		return this.#timers.earliest();
	}

	/** Records the outcome of a request that has ended at this entry. */
	recordEnd(requestId: string, workspace: string, outcome: Outcome): void {
		this.#ended.set(requestId, {workspace, outcome});
		if (this.#ended.size > maxEnded) {
			const [oldest] = this.#ended.keys();
			this.#ended.delete(oldest!);
		}
	}

	/** Answers from the recorded outcomes, or else queries the sidecars. */
	begin(message: Extract<EntryMessage, {type: 'query'}>, now: number): void {
		const {id, requestId, workspace, cancel} = message;
		const ended = this.#ended.get(requestId);
		if (ended?.workspace === workspace) {
			const {outcome} = ended;
			this.answer(id, {state: 'ended', outcome, eventId: undefined});
			return;
		}

		const endpoints = message.endpoints.slice(0, maxQueried);
		const outstanding = new Set(endpoints.map(({name}) => name));
		const query: Query = {id, outstanding, latest: undefined};
		this.#queries.set(id, query);
		this.#timers.set(id, now + queryTimeoutMs);
		for (const endpoint of endpoints) {
			const {name} = endpoint;
			this.#options.send(endpoint, {
				type: 'query',
				id: `${id}@${name}`,
				requestId,
				workspace,
				cancel,
			});
		}

		this.#answerIfComplete(query);
	}

	reply(
		endpoint: string,
		replyId: string,
		status: AttemptStatus | undefined,
	): void {
		const query = this.#queries.get(replyId.slice(0, replyId.lastIndexOf('@')));
		if (!query?.outstanding.delete(endpoint)) {
			return;
		}

		// The refusal of one attempt does not show that the request has not run: another attempt may have.
		const isRefused = status?.outcome === 'not_run';
		if (status && !isRefused && isLater(status, query.latest?.status)) {
			query.latest = {endpoint, status};
		}

		this.#answerIfComplete(query);
	}

	linkLost(endpoint: string): void {
		for (const query of this.#queries.values()) {
			if (query.outstanding.delete(endpoint)) {
				this.#answerIfComplete(query);
			}
		}
	}

	advance(now: number): void {
		for (const id of this.#timers.takeDue(now)) {
			const query = this.#queries.get(id)!;
			query.outstanding.clear();
			this.#answerIfComplete(query);
		}
	}

	answer(id: string, status: RequestStatus): void {
		this.#options.emit({type: 'status', id, status});
	}

	/** Answers once every sidecar has replied, or one has reported an attempt that is queued, running or completed. */
	#answerIfComplete(query: Query): void {
		const {latest} = query;
		const isFinal =
			latest &&
			(latest.status.state !== 'ended' ||
				latest.status.outcome === 'completed');
		if (query.outstanding.size > 0 && !isFinal) {
			return;
		}

		this.#queries.delete(query.id);
		this.#timers.delete(query.id);
		this.answer(query.id, latest ? statusOf(latest) : unknownStatus);
	}
}

const unknownStatus: RequestStatus = {
	state: 'unknown',
	outcome: undefined,
	eventId: undefined,
};

function statusOf({
	endpoint,
	status,
}: {
	endpoint: string;
	status: AttemptStatus;
}): RequestStatus {
	const {attempt, state, outcome, sequence} = status;
	return {
		state,
		outcome,
		eventId: formatEventId({endpoint, attempt, sequence}),
	};
}

/** Whether a status belongs to a later attempt of the request, which replaces earlier ones. */
function isLater(
	status: AttemptStatus,
	other: AttemptStatus | undefined,
): boolean {
	return !other || attemptNumber(status.attempt) > attemptNumber(other.attempt);
}

function attemptNumber(attempt: string): number {
	return Number(attempt.slice(attempt.lastIndexOf('.') + 1));
}
