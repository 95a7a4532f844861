import type {EntryToSidecar, Update} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {formatEventId} from './event-id.js';
import {answerNotKept, endpointFailed, linkLost} from './failures.js';
import type {EntryEffect, EntryMessage, Failure} from './message.js';

type Watch = {
	readonly id: string;
	readonly workspace: string;
	readonly endpoint: EndpointView;
	readonly attempt: string;
	sequence: number;
	isHeadSent: boolean;
	isRefetching: boolean;
};

export type WatchesOptions = {
	readonly emit: (effect: EntryEffect) => void;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Relays the rest of resumable answers to callers that have reconnected, possibly to another entry. */
export class Watches {
	readonly #options: WatchesOptions;
	readonly #watches = new Map<string, Watch>();
	/** Id of the current watch by attempt; a later watch of an attempt replaces an earlier one. */
	readonly #byAttempt = new Map<string, string>();

	constructor(options: WatchesOptions) {
		this.#options = options;
	}

	get size(): number {
		return this.#watches.size;
	}

	has(attempt: string): boolean {
		return this.#byAttempt.has(attempt);
	}

	begin(message: Extract<EntryMessage, {type: 'events'}>): void {
		const {id, workspace, endpoint, attempt, after} = message;
		const earlier = this.#watches.get(this.#byAttempt.get(attempt) ?? '');
		if (earlier) {
			this.#end(earlier, 'unknown', linkLost);
		}

		const watch: Watch = {
			id,
			workspace,
			endpoint,
			attempt,
			sequence: after,
			isHeadSent: false,
			isRefetching: false,
		};
		this.#watches.set(id, watch);
		this.#byAttempt.set(attempt, id);
		this.#attach(watch);
	}

	update(endpoint: string, update: Update): void {
		const watch = this.#watches.get(this.#byAttempt.get(update.attempt) ?? '');
		if (watch?.endpoint.name !== endpoint) {
			return;
		}

		switch (update.type) {
			case 'started': {
				break;
			}

			case 'head': {
				this.#onHead(watch, update);
				break;
			}

			case 'chunk': {
				this.#onChunk(watch, update);
				break;
			}

			case 'refused': {
				// Another attempt of the request may have run.
				this.#end(watch, 'unknown', answerNotKept);
				break;
			}

			case 'ended': {
				this.#onEnded(watch, update);
				break;
			}
		}
	}

	linkLost(endpoint: string): void {
		for (const watch of this.#watches.values()) {
			if (watch.endpoint.name === endpoint) {
				this.#end(watch, 'unknown', linkLost);
			}
		}
	}

	/** Grants the sidecar credit up to the sequence number that the caller has acknowledged; returns false when `id` is not a watch. */
	acknowledge(id: string, upTo: number): boolean {
		const watch = this.#watches.get(id);
		if (watch) {
			const {endpoint, attempt} = watch;
			this.#options.send(endpoint, {type: 'credit', attempt, upTo});
		}

		return watch !== undefined;
	}

	/** Ends the watch of a caller that has disconnected; returns false when `id` is not a watch. */
	callerGone(id: string): boolean {
		const watch = this.#watches.get(id);
		if (watch) {
			const {endpoint, attempt} = watch;
			this.#remove(watch);
			this.#options.send(endpoint, {type: 'detach', attempt});
		}

		return watch !== undefined;
	}

	#onHead(watch: Watch, head: Extract<Update, {type: 'head'}>): void {
		if (!watch.isHeadSent) {
			watch.isHeadSent = true;
			const {status, headers, binary} = head;
			this.#options.emit({
				type: 'head',
				requestId: watch.id,
				status,
				headers,
				binary,
			});
		}
	}

	#onChunk(watch: Watch, chunk: Extract<Update, {type: 'chunk'}>): void {
		if (chunk.sequence > watch.sequence + 1) {
			this.#refetch(watch);
		} else if (chunk.sequence === watch.sequence + 1) {
			watch.isRefetching = false;
			watch.sequence++;
			this.#options.emit({
				type: 'chunk',
				requestId: watch.id,
				eventId: formatEventId({...watch, endpoint: watch.endpoint.name}),
				sequence: watch.sequence,
				data: chunk.data,
			});
		}
	}

	#onEnded(watch: Watch, ended: Extract<Update, {type: 'ended'}>): void {
		if (ended.sequence > watch.sequence) {
			this.#refetch(watch);
		} else if (ended.outcome === 'completed') {
			this.#end(watch, 'completed', undefined);
		} else {
			const failure =
				ended.reason === 'forgotten'
					? answerNotKept
					: endpointFailed(ended.reason);
			this.#end(watch, ended.outcome, failure);
		}
	}

	#refetch(watch: Watch): void {
		if (!watch.isRefetching) {
			watch.isRefetching = true;
			this.#attach(watch);
		}
	}

	#attach({endpoint, attempt, workspace, sequence}: Watch): void {
		this.#options.send(endpoint, {
			type: 'attach',
			attempt,
			workspace,
			after: sequence,
		});
	}

	#end(
		watch: Watch,
		outcome: Extract<EntryEffect, {type: 'end'}>['outcome'],
		failure: Failure | undefined,
	): void {
		this.#remove(watch);
		this.#options.emit({
			type: 'end',
			requestId: watch.id,
			outcome,
			failure,
			offers: 0,
		});
	}

	#remove(watch: Watch): void {
		this.#watches.delete(watch.id);
		if (this.#byAttempt.get(watch.attempt) === watch.id) {
			this.#byAttempt.delete(watch.attempt);
		}
	}
}
