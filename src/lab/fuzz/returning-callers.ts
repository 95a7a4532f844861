import {
	parseEventId,
	type EndpointView,
	type EntryEffect,
	type RequestStatus,
} from '../../services/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import {callerLatencyMs} from './callers.js';
import type {
	StatusQuery,
	History,
	ResumedStream,
	SentRequest,
} from './history.js';
import type {EntryHost} from './network.js';
import type {RequestStep} from './plan.js';

/** Simulated callers of resumable requests that reconnect to an entry to receive the rest of the answer, or to cancel the request. */
export class ReturningCallers {
	readonly #clock: VirtualClock;
	readonly #history: History;
	readonly #endpoints: (target: string) => EndpointView[];
	readonly #entries = new Map<string, EntryHost>();

	constructor(
		clock: VirtualClock,
		history: History,
		endpoints: (target: string) => EndpointView[],
	) {
		this.#clock = clock;
		this.#history = history;
		this.#endpoints = endpoints;
	}

	/** Reconnects a caller: resumes the stream after its last event id, or queries the status when it has none or wants to cancel. */
	onReturn(sent: SentRequest, step: RequestStep, entry: EntryHost): void {
		const eventId = parseEventId(sent.lastEventId ?? '');
		if (eventId && !step.returnCancels) {
			this.#resumeStream(sent, entry, eventId.endpoint, eventId.attempt);
		} else {
			this.#queryStatus(sent, entry, step.returnCancels ?? false);
		}
	}

	onHead(effect: Extract<EntryEffect, {type: 'head'}>): void {
		const stream = this.#receiverOf(effect.requestId);
		if (stream) {
			stream.heads++;
		}
	}

	onChunk(effect: Extract<EntryEffect, {type: 'chunk'}>): void {
		const stream = this.#receiverOf(effect.requestId);
		if (!stream) {
			return;
		}

		stream.sequences.push(effect.sequence);
		stream.text += effect.data;
		this.#deliver(stream, {
			type: 'acknowledged',
			requestId: stream.id,
			upTo: effect.sequence,
		});
	}

	onEnd(effect: Extract<EntryEffect, {type: 'end'}>): void {
		const stream = this.#receiverOf(effect.requestId);
		if (stream) {
			const {outcome, failure} = effect;
			stream.ends.push({at: this.#clock.now, outcome, code: failure?.code});
			this.#trace(`${stream.id} ends with ${outcome} ${failure?.code ?? ''}`);
		}
	}

	onStatus(id: string, status: RequestStatus): void {
		const query = this.#history.statusQueries.get(id)!;
		query.answers.push({at: this.#clock.now, status});
		this.#trace(`${id} gets status ${JSON.stringify(status)}`);
		const eventId = parseEventId(status.eventId ?? '');
		const {sent, isCancelling} = query;
		if (eventId && !isCancelling && query.connectionLostAt === undefined) {
			const entry = this.#entries.get(id)!;
			this.#resumeStream(sent, entry, eventId.endpoint, eventId.attempt);
		}
	}

	onEntryExit(incarnation: string): void {
		for (const item of [
			...this.#history.resumedStreams.values(),
			...this.#history.statusQueries.values(),
		]) {
			if (item.entryIncarnation === incarnation) {
				item.connectionLostAt ??= this.#clock.now;
			}
		}
	}

	#queryStatus(
		sent: SentRequest,
		entry: EntryHost,
		isCancelling: boolean,
	): void {
		const {incarnation} = entry;
		if (incarnation === undefined) {
			return;
		}

		const id = `q${this.#history.statusQueries.size}`;
		const query: StatusQuery = {
			id,
			sent,
			entry: entry.name,
			entryIncarnation: incarnation,
			at: this.#clock.now,
			isCancelling,
			connectionLostAt: undefined,
			answers: [],
		};
		this.#history.statusQueries.set(id, query);
		this.#entries.set(id, entry);
		this.#trace(
			`${id} queries ${incarnation} for ${sent.id}${isCancelling ? ' and cancels it' : ''}`,
		);
		this.#deliver(query, {
			type: 'query',
			id,
			workspace: sent.workspace,
			requestId: sent.id,
			cancel: isCancelling,
			endpoints: this.#endpoints(sent.target),
		});
	}

	#resumeStream(
		sent: SentRequest,
		entry: EntryHost,
		endpointName: string,
		attempt: string,
	): void {
		const {incarnation} = entry;
		const endpoint = this.#endpoints(sent.target).find(
			({name}) => name === endpointName,
		);
		if (incarnation === undefined || !endpoint) {
			return;
		}

		const id = `w${this.#history.resumedStreams.size}`;
		const stream: ResumedStream = {
			id,
			sent,
			entry: entry.name,
			entryIncarnation: incarnation,
			at: this.#clock.now,
			after: sent.sequences.at(-1) ?? 0,
			connectionLostAt: undefined,
			heads: 0,
			text: sent.text,
			sequences: [],
			ends: [],
			effectsAfterEnd: 0,
		};
		this.#history.resumedStreams.set(id, stream);
		this.#entries.set(id, entry);
		this.#trace(
			`${id} resumes ${attempt} at ${incarnation} after chunk ${stream.after}`,
		);
		this.#deliver(stream, {
			type: 'events',
			id,
			workspace: sent.workspace,
			endpoint,
			attempt,
			after: stream.after,
		});
	}

	#deliver(
		item: ResumedStream | StatusQuery,
		message: Parameters<EntryHost['deliver']>[1],
	): void {
		const entry = this.#entries.get(item.id)!;
		this.#clock.after(callerLatencyMs, () => {
			if (entry.incarnation === item.entryIncarnation) {
				entry.deliver(item.entryIncarnation, message);
			} else {
				item.connectionLostAt ??= this.#clock.now;
			}
		});
	}

	/** The stream that an effect is for, or undefined when its connection is lost; counts effects that follow the final answer. */
	#receiverOf(id: string): ResumedStream | undefined {
		const stream = this.#history.resumedStreams.get(id)!;
		if (stream.ends.length > 0) {
			stream.effectsAfterEnd++;
		}

		return stream.connectionLostAt === undefined ? stream : undefined;
	}

	#trace(text: string): void {
		this.#history.lines.push(`${this.#clock.now.toFixed(1)} ${text}`);
	}
}
