import {Timers, type Random} from '../../base/index.js';
import type {EntryToSidecar, SidecarToEntry} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {Attachments} from './attachments.js';
import {CallerOutput} from './caller-output.js';
import type {Locality} from './candidates.js';
import {entryLeaving} from './failures.js';
import type {CallerRequest, EntryEffect, EntryMessage} from './message.js';
import {
	newProgress,
	requestStatus,
	nextWakeOf,
	type Progress,
} from './progress.js';
import {Queries} from './queries.js';
import {Outliers} from './outliers.js';
import {RequestFlow} from './request-flow.js';
import {RetryBudget} from './retry-budget.js';
import {Revocations, type RevocationOutput} from './revocations.js';
import {Selection} from './selection.js';
import {Watches} from './watches.js';

export type EntryOptions = {
	readonly locality: Locality;
	readonly random: Random;
	/** Extracts the generated text from the chunks of an answer. */
	readonly textOf: (chunks: readonly string[]) => string;
	/** Wall-clock time at monotonic time 0, in milliseconds since 1970; used for timestamps in run records. */
	readonly epochMs?: number;
};

/** State machine of the entry: routes each caller's request to an endpoint, and relays the answer or the outcome to the caller. */
export class Entry {
	readonly #requests = new Map<string, Progress>();
	/** Next wake-up time by request id. */
	readonly #timers = new Timers();
	readonly #incarnations = new Map<string, string>();
	readonly #revocations: Revocations;
	readonly #attachments: Attachments;
	readonly #output: CallerOutput;
	readonly #textOf: EntryOptions['textOf'];
	readonly #outliers = new Outliers();
	readonly #selection: Selection;
	readonly #flow: RequestFlow;
	readonly #watches: Watches;
	readonly #queries: Queries;
	#leaving = false;
	#effects: EntryEffect[] = [];

	constructor(options: EntryOptions) {
		const send = (endpoint: EndpointView, message: EntryToSidecar) => {
			this.#send(endpoint, message);
		};

		this.#revocations = new Revocations(options.epochMs ?? 0);
		this.#attachments = new Attachments(send);
		const emit = (effect: EntryEffect) => {
			this.#effects.push(effect);
		};

		this.#output = new CallerOutput(emit);
		this.#watches = new Watches({emit, send});
		this.#queries = new Queries({emit, send});
		this.#textOf = options.textOf;
		const outliers = this.#outliers;
		this.#selection = new Selection({...options, outliers, send});
		this.#flow = new RequestFlow({
			selection: this.#selection,
			outliers: this.#outliers,
			attachments: this.#attachments,
			output: this.#output,
			budget: new RetryBudget(),
			incarnations: this.#incarnations,
			send,
			revoke: (progress, attempt, now) => {
				const output = this.#revocations.begin(progress, attempt, now);
				this.#onRevocations(output, now);
			},
		});
	}

	handle(message: EntryMessage, now: number): EntryEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'request': {
				this.#onRequest(message.request, now);
				break;
			}

			case 'events': {
				this.#watches.begin(message);
				break;
			}

			case 'query': {
				this.#onQuery(message, now);
				break;
			}

			case 'callerGone': {
				this.#onCallerGone(message.requestId);
				break;
			}

			case 'acknowledged': {
				this.#onAcknowledged(message.requestId, message.upTo);
				break;
			}

			case 'linkUp': {
				this.#onLinkUp(message.endpoint, message.incarnation, now);
				break;
			}

			case 'linkLost': {
				this.#onLinkLost(message.endpoint, now);
				break;
			}

			case 'peer': {
				this.#onPeer(message.endpoint, message.message, now);
				break;
			}

			case 'leave': {
				this.#leaving = true;
				break;
			}

			case 'table': {
				const {id, answer} = message;
				this.#onRevocations(this.#revocations.answer(id, answer, now), now);
				break;
			}

			case 'tick': {
				break;
			}
		}

		this.#advance(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [
			this.#timers.earliest(),
			this.#revocations.nextWake(),
			this.#queries.nextWake(),
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return {
			leaving: this.#leaving,
			links: Object.fromEntries(this.#incarnations),
			ejected: this.#outliers.ejectedNames(),
			requests: [...this.#requests.values()].map((progress) => ({
				id: progress.request.id,
				workspace: progress.request.profile.contract.workspace,
				attempt: progress.attempt?.id,
				endpoint: progress.attempt?.endpoint.name,
				started: progress.attempt?.started,
				detached: progress.attempt?.detached !== undefined,
				revoking: progress.revoking?.id,
				closing: progress.closing !== undefined,
				sequence: progress.sequence,
			})),
		};
	}

	#onRequest(request: CallerRequest, now: number): void {
		const progress = newProgress(request, this.#textOf, now);
		this.#requests.set(request.id, progress);
		if (this.#leaving) {
			this.#output.end(progress, 'not_run', entryLeaving);
		} else {
			this.#flow.begin(progress, now);
		}

		this.#reschedule(progress);
	}

	#onPeer(endpoint: string, message: SidecarToEntry, now: number): void {
		switch (message.type) {
			case 'offerReply': {
				const progress = this.#requests.get(message.id);
				if (progress) {
					this.#flow.offerReply(progress, endpoint, message.reply, now);
					this.#reschedule(progress);
				}

				break;
			}

			case 'update': {
				const {update} = message;
				const progress = this.#requests.get(requestIdOf(update.attempt));
				const attempt = [progress?.attempt, progress?.hedge].find(
					(item) => item?.id === update.attempt,
				);
				if (progress && attempt?.endpoint.name === endpoint) {
					this.#flow.update(progress, attempt, update, now);
					this.#reschedule(progress);
				}

				this.#watches.update(endpoint, update);
				break;
			}

			case 'queryReply': {
				this.#queries.reply(endpoint, message.id, message.status);
				break;
			}
		}
	}

	#onLinkUp(endpoint: string, incarnation: string, now: number): void {
		this.#incarnations.set(endpoint, incarnation);
		this.#selection.applyIncarnation(endpoint, incarnation, now);
		for (const progress of this.#requests.values()) {
			const {attempt} = progress;
			if (attempt?.detached && attempt.endpoint.name === endpoint) {
				this.#flow.linkUp(progress, incarnation, now);
				this.#reschedule(progress);
			}
		}
	}

	#onLinkLost(endpoint: string, now: number): void {
		this.#incarnations.delete(endpoint);
		this.#selection.clearLeaving(endpoint);
		for (const progress of this.#requests.values()) {
			this.#flow.linkLost(progress, endpoint, now);
			this.#reschedule(progress);
		}

		this.#watches.linkLost(endpoint);
		this.#queries.linkLost(endpoint);
	}

	#onRevocations(output: RevocationOutput, now: number): void {
		this.#effects.push(...output.effects);
		for (const {attempt, result} of output.results) {
			const progress = this.#requests.get(requestIdOf(attempt));
			if (progress?.revoking?.id === attempt) {
				this.#flow.applyRunResult(progress, result, now);
				this.#reschedule(progress);
			}
		}
	}

	#onQuery(message: Extract<EntryMessage, {type: 'query'}>, now: number): void {
		const {id, requestId, workspace, cancel} = message;
		const progress = this.#requests.get(requestId);
		if (progress?.request.profile.contract.workspace !== workspace) {
			this.#queries.begin(message, now);
			return;
		}

		if (cancel) {
			this.#flow.cancel(progress, now);
			this.#reschedule(progress);
		}

		this.#queries.answer(id, requestStatus(progress));
	}

	#onCallerGone(requestId: string): void {
		const progress = this.#requests.get(requestId);
		if (this.#watches.callerGone(requestId) || !progress) {
			return;
		}

		// A watch at this entry may have attached to the attempt.
		const {attempt} = progress;
		const isWatched = attempt !== undefined && this.#watches.has(attempt.id);
		this.#flow.abandon(progress, isWatched);
		this.#reschedule(progress);
	}

	#onAcknowledged(requestId: string, upTo: number): void {
		const progress = this.#requests.get(requestId);
		if (this.#watches.acknowledge(requestId, upTo) || !progress) {
			return;
		}

		progress.acknowledgedUpTo = upTo;
		if (progress.attempt && !progress.attempt.detached) {
			this.#attachments.credit(progress, progress.attempt);
		}
	}

	/** Updates the timer of a request; removes a request that has ended. */
	#reschedule(progress: Progress): void {
		const {id} = progress.request;
		if (progress.ended) {
			this.#requests.delete(id);
			this.#timers.delete(id);
			if (progress.outcome) {
				const {workspace} = progress.request.profile.contract;
				this.#queries.recordEnd(id, workspace, progress.outcome);
			}
		} else {
			this.#timers.set(id, nextWakeOf(progress));
		}
	}

	#advance(now: number): void {
		for (const id of this.#timers.takeDue(now)) {
			const progress = this.#requests.get(id)!;
			this.#flow.handleDue(progress, now);
			this.#reschedule(progress);
		}

		this.#onRevocations(this.#revocations.advance(now), now);
		this.#queries.advance(now);
		if (
			this.#leaving &&
			this.#requests.size === 0 &&
			this.#watches.size === 0
		) {
			this.#effects.push({type: 'drained'});
		}
	}

	#send(endpoint: EndpointView, message: EntryToSidecar): void {
		this.#effects.push({
			type: 'send',
			endpoint: endpoint.name,
			address: endpoint.address,
			message,
		});
	}
}

/** Id of the request to which an attempt belongs. */
function requestIdOf(attempt: string): string {
	return attempt.slice(0, attempt.lastIndexOf('.'));
}
