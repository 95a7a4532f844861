import {Timers} from '../../base/index.js';
import type {
	AttemptStatus,
	EntryToSidecar,
	Outcome,
} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {formatEventId} from './event-id.js';
import type {EntryEffect, EntryMessage, RequestStatus} from './message.js';

/** Longest wait for the sidecars' replies to a query, in milliseconds. */
const queryTimeoutMs = 500;

/** Endpoints asked at most for one query. */
const maxQueried = 64;

/** Ended requests remembered by the entry itself; the oldest is forgotten first. */
const maxEnded = 10_000;

type Query = {
	readonly id: string;
	readonly open: Set<string>;
	best: {endpoint: string; status: AttemptStatus} | undefined;
};

type EndedRequest = {readonly workspace: string; readonly outcome: Outcome};

export type QueriesOptions = {
	readonly emit: (effect: EntryEffect) => void;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Finds out what became of requests that other entries, or this one, have handled. */
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

	/** Remembers the outcome of a request of this entry. */
	remember(requestId: string, workspace: string, outcome: Outcome): void {
		this.#ended.set(requestId, {workspace, outcome});
		if (this.#ended.size > maxEnded) {
			const [oldest] = this.#ended.keys();
			this.#ended.delete(oldest!);
		}
	}

	/** Answers from memory, or asks the sidecars. */
	begin(message: Extract<EntryMessage, {type: 'query'}>, now: number): void {
		const {id, requestId, workspace, cancel} = message;
		const ended = this.#ended.get(requestId);
		if (ended?.workspace === workspace) {
			const {outcome} = ended;
			this.answer(id, {state: 'ended', outcome, eventId: undefined});
			return;
		}

		const endpoints = message.endpoints.slice(0, maxQueried);
		const open = new Set(endpoints.map(({name}) => name));
		const query: Query = {id, open, best: undefined};
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

		this.#settle(query);
	}

	reply(
		endpoint: string,
		replyId: string,
		status: AttemptStatus | undefined,
	): void {
		const query = this.#queries.get(replyId.slice(0, replyId.lastIndexOf('@')));
		if (!query?.open.delete(endpoint)) {
			return;
		}

		// The refusal of one attempt does not say that the request has not run: another attempt may have.
		const isRefused = status?.outcome === 'not_run';
		if (status && !isRefused && isBetter(status, query.best?.status)) {
			query.best = {endpoint, status};
		}

		this.#settle(query);
	}

	linkLost(endpoint: string): void {
		for (const query of this.#queries.values()) {
			if (query.open.delete(endpoint)) {
				this.#settle(query);
			}
		}
	}

	advance(now: number): void {
		for (const id of this.#timers.takeDue(now)) {
			const query = this.#queries.get(id)!;
			query.open.clear();
			this.#settle(query);
		}
	}

	answer(id: string, status: RequestStatus): void {
		this.#options.emit({type: 'status', id, status});
	}

	/** Answers once every sidecar has replied, or one has the final word. */
	#settle(query: Query): void {
		const {best} = query;
		const isFinal =
			best &&
			(best.status.state !== 'ended' || best.status.outcome === 'completed');
		if (query.open.size > 0 && !isFinal) {
			return;
		}

		this.#queries.delete(query.id);
		this.#timers.delete(query.id);
		this.answer(query.id, best ? statusOf(best) : unknownStatus);
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

/** Later attempts of a request replace earlier ones. */
function isBetter(
	status: AttemptStatus,
	best: AttemptStatus | undefined,
): boolean {
	return !best || attemptNumber(status.attempt) > attemptNumber(best.attempt);
}

function attemptNumber(attempt: string): number {
	return Number(attempt.slice(attempt.lastIndexOf('.') + 1));
}
