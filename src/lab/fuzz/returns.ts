import {
	parseEventId,
	type EndpointView,
	type EntryEffect,
	type RequestStatus,
} from '../../services/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import {callerLatencyMs} from './callers.js';
import type {Asked, History, Returned, Sent} from './history.js';
import type {EntryHost} from './network.js';
import type {RequestStep} from './plan.js';

/** Callers of resumable requests that come back to an entry and ask for the rest of the answer, or cancel it. */
export class Returns {
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

	/** The caller of a request that was cut off comes back. */
	come(sent: Sent, step: RequestStep, entry: EntryHost): void {
		const eventId = parseEventId(sent.lastEventId ?? '');
		if (eventId && !step.returnCancels) {
			this.#watch(sent, entry, eventId.endpoint, eventId.attempt);
		} else {
			this.#ask(sent, entry, step.returnCancels ?? false);
		}
	}

	onHead(effect: Extract<EntryEffect, {type: 'head'}>): void {
		const returned = this.#open(effect.requestId);
		if (returned) {
			returned.heads++;
		}
	}

	onChunk(effect: Extract<EntryEffect, {type: 'chunk'}>): void {
		const returned = this.#open(effect.requestId);
		if (!returned) {
			return;
		}

		returned.sequences.push(effect.sequence);
		returned.text += effect.data;
		this.#deliver(returned, {
			type: 'taken',
			requestId: returned.id,
			upTo: effect.sequence,
		});
	}

	onEnd(effect: Extract<EntryEffect, {type: 'end'}>): void {
		const returned = this.#open(effect.requestId);
		if (returned) {
			const {outcome, failure} = effect;
			returned.ends.push({at: this.#clock.now, outcome, code: failure?.code});
			this.#note(`${returned.id} told ${outcome} ${failure?.code ?? ''}`);
		}
	}

	onStatus(id: string, status: RequestStatus): void {
		const asked = this.#history.asked.get(id)!;
		asked.answers.push({at: this.#clock.now, status});
		this.#note(`${id} told ${JSON.stringify(status)}`);
		const eventId = parseEventId(status.eventId ?? '');
		const {sent, cancels} = asked;
		if (eventId && !cancels && asked.lostAt === undefined) {
			const entry = this.#entries.get(id)!;
			this.#watch(sent, entry, eventId.endpoint, eventId.attempt);
		}
	}

	onEntryEnd(incarnation: string): void {
		for (const item of [
			...this.#history.returned.values(),
			...this.#history.asked.values(),
		]) {
			if (item.entryIncarnation === incarnation) {
				item.lostAt ??= this.#clock.now;
			}
		}
	}

	#ask(sent: Sent, entry: EntryHost, cancels: boolean): void {
		const {incarnation} = entry;
		if (incarnation === undefined) {
			return;
		}

		const id = `q${this.#history.asked.size}`;
		const asked: Asked = {
			id,
			sent,
			entry: entry.name,
			entryIncarnation: incarnation,
			at: this.#clock.now,
			cancels,
			lostAt: undefined,
			answers: [],
		};
		this.#history.asked.set(id, asked);
		this.#entries.set(id, entry);
		this.#note(
			`${id} asks ${incarnation} for ${sent.id}${cancels ? ' and cancels it' : ''}`,
		);
		this.#deliver(asked, {
			type: 'query',
			id,
			workspace: sent.workspace,
			requestId: sent.id,
			cancel: cancels,
			endpoints: this.#endpoints(sent.target),
		});
	}

	#watch(
		sent: Sent,
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

		const id = `w${this.#history.returned.size}`;
		const returned: Returned = {
			id,
			sent,
			entry: entry.name,
			entryIncarnation: incarnation,
			at: this.#clock.now,
			after: sent.sequences.at(-1) ?? 0,
			lostAt: undefined,
			heads: 0,
			text: sent.text,
			sequences: [],
			ends: [],
			afterEnd: 0,
		};
		this.#history.returned.set(id, returned);
		this.#entries.set(id, entry);
		this.#note(
			`${id} asks ${incarnation} for ${attempt} after ${returned.after}`,
		);
		this.#deliver(returned, {
			type: 'events',
			id,
			workspace: sent.workspace,
			endpoint,
			attempt,
			after: returned.after,
		});
	}

	#deliver(
		item: Returned | Asked,
		message: Parameters<EntryHost['deliver']>[1],
	): void {
		const entry = this.#entries.get(item.id)!;
		this.#clock.after(callerLatencyMs, () => {
			if (entry.incarnation === item.entryIncarnation) {
				entry.deliver(item.entryIncarnation, message);
			} else {
				item.lostAt ??= this.#clock.now;
			}
		});
	}

	/** The watch, unless its caller can no longer be told anything. */
	#open(id: string): Returned | undefined {
		const returned = this.#history.returned.get(id)!;
		if (returned.ends.length > 0) {
			returned.afterEnd++;
		}

		return returned.lostAt === undefined ? returned : undefined;
	}

	#note(text: string): void {
		this.#history.lines.push(`${this.#clock.now.toFixed(1)} ${text}`);
	}
}
