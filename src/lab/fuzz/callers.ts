import type {EndpointView, EntryEffect} from '../../services/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import {requestHeader, type Order} from './answer.js';
import type {History, Sent} from './history.js';
import type {EntryHost} from './network.js';
import type {Plan, RequestStep} from './plan.js';

/** Latency between callers and entries, one way, in milliseconds. */
export const callerLatencyMs = 3;

const tiers = {tight: 0, loose: 1} as const;

/** Sends requests as planned and records what the entries answer. */
export class Callers {
	readonly #clock: VirtualClock;
	readonly #history: History;
	readonly #plan: Plan;
	readonly #steps = new Map<string, RequestStep>();
	/** A caller was cut off from a resumable request. */
	readonly #onCutOff: (sent: Sent, step: RequestStep) => void;

	constructor(
		clock: VirtualClock,
		history: History,
		plan: Plan,
		onCutOff: (sent: Sent, step: RequestStep) => void,
	) {
		this.#onCutOff = onCutOff;
		this.#clock = clock;
		this.#history = history;
		this.#plan = plan;
	}

	/** Sends one request; `id` is unique in the run. */
	send(
		id: string,
		step: RequestStep,
		entry: EntryHost,
		endpoints: readonly EndpointView[],
		probe: boolean,
	): void {
		const {incarnation} = entry;
		if (incarnation === undefined) {
			// The connection is refused: nothing was sent.
			return;
		}

		const workspace = `workspace-${step.workspace}`;
		const keyed = step.key !== undefined && step.target === 'service';
		// Requests of one key are the same request, so they have the same length.
		const length = keyed ? (step.key! % 7) + 1 : step.length;
		const identity = keyed ? `${workspace}.key-${step.key!}` : id;
		const sent: Sent = {
			id,
			identity,
			entry: entry.name,
			entryIncarnation: incarnation,
			at: this.#clock.now,
			timeoutMs: step.timeoutMs,
			requestClass: step.requestClass,
			tier: tiers[step.requestClass],
			target: step.target,
			workspace,
			resumable: step.resumable,
			length,
			keyed,
			probe,
			arrived: false,
			goneAt: undefined,
			lostAt: undefined,
			heads: 0,
			text: '',
			sequences: [],
			lastEventId: undefined,
			ends: [],
			afterEnd: 0,
		};
		this.#history.sent.set(id, sent);
		this.#steps.set(id, step);
		this.#note(`${id} sent to ${incarnation}`, {identity, length});
		const order: Order = {
			identity,
			keyed,
			length,
		};
		this.#clock.after(callerLatencyMs, () => {
			if (entry.incarnation !== incarnation) {
				// The connection is refused: the entry never saw the request.
				this.#history.sent.delete(id);
				return;
			}

			sent.arrived = true;
			entry.deliver(incarnation, {
				type: 'request',
				request: {
					id,
					profile: {
						contract: {
							workspace,
							requestClass: step.requestClass,
							tier: sent.tier,
							firstTokenMs: 60_000,
							gapMs: this.#plan.gapTargetMs,
							share: this.#plan.shares[step.requestClass],
							weight: 1,
							patience: 10,
						},
						target: step.target,
						kind: step.target === 'model' ? 'model' : 'service',
						promptTokens: step.target === 'model' ? 16 : 0,
						prefix: [`prefix-${step.workspace}`],
					},
					call: {
						method: 'POST',
						path: '/v1/call',
						headers: {[requestHeader]: id},
						body: JSON.stringify(order),
					},
					idempotent: !keyed,
					idempotencyKey: keyed ? `key-${step.key!}` : undefined,
					resumable: step.resumable,
					timeoutMs: step.timeoutMs,
					endpoints,
				},
			});
		});
		if (step.goneAfterMs !== undefined) {
			this.#clock.after(step.goneAfterMs, () => {
				this.#leave(sent, entry);
			});
		}
	}

	/** An entry's process has ended: its callers lose their connections. */
	onEntryEnd(incarnation: string): void {
		for (const sent of this.#history.sent.values()) {
			if (
				sent.entryIncarnation === incarnation &&
				sent.arrived &&
				sent.ends.length === 0
			) {
				sent.lostAt ??= this.#clock.now;
				this.#cutOff(sent);
			}
		}
	}

	/** Callers that are connected to an entry's process and have no final answer. */
	waitingAt(incarnation: string): Sent[] {
		return [...this.#history.sent.values()].filter(
			(sent) =>
				sent.entryIncarnation === incarnation &&
				sent.arrived &&
				sent.ends.length === 0 &&
				sent.goneAt === undefined &&
				sent.lostAt === undefined,
		);
	}

	onHead(effect: Extract<EntryEffect, {type: 'head'}>): void {
		const sent = this.#open(effect.requestId);
		if (sent) {
			sent.heads++;
		}
	}

	onChunk(
		effect: Extract<EntryEffect, {type: 'chunk'}>,
		entry: EntryHost,
		incarnation: string,
	): void {
		const sent = this.#open(effect.requestId);
		if (!sent) {
			return;
		}

		sent.sequences.push(effect.sequence);
		sent.text += effect.data;
		sent.lastEventId = effect.eventId;
		this.#clock.after(
			callerLatencyMs + this.#steps.get(sent.id)!.takeMs,
			() => {
				entry.deliver(incarnation, {
					type: 'taken',
					requestId: effect.requestId,
					upTo: effect.sequence,
				});
			},
		);
	}

	onEnd(effect: Extract<EntryEffect, {type: 'end'}>): void {
		const sent = this.#open(effect.requestId);
		if (!sent) {
			return;
		}

		const code = effect.failure?.code;
		sent.ends.push({at: this.#clock.now, outcome: effect.outcome, code});
		this.#note(`${sent.id} told ${effect.outcome}`, {code});
	}

	#leave(sent: Sent, entry: EntryHost): void {
		if (sent.ends.length > 0 || sent.lostAt !== undefined) {
			return;
		}

		sent.goneAt = this.#clock.now;
		this.#cutOff(sent);
		this.#note(`${sent.id} caller gone`, {});
		this.#clock.after(callerLatencyMs, () => {
			entry.deliver(sent.entryIncarnation, {
				type: 'callerGone',
				requestId: sent.id,
			});
		});
	}

	#cutOff(sent: Sent): void {
		const step = this.#steps.get(sent.id)!;
		if (sent.resumable && step.returnAfterMs !== undefined) {
			this.#clock.after(step.returnAfterMs, () => {
				this.#onCutOff(sent, step);
			});
		}
	}

	/** The request, unless its caller can no longer be told anything. */
	#open(id: string): Sent | undefined {
		const sent = this.#history.sent.get(id);
		if (!sent) {
			this.#history.exceptions.push(`answer to an unknown request ${id}`);
			return undefined;
		}

		if (sent.ends.length > 0) {
			sent.afterEnd++;
		}

		return sent.goneAt === undefined && sent.lostAt === undefined
			? sent
			: undefined;
	}

	#note(text: string, fields: Record<string, unknown>): void {
		this.#history.lines.push(
			`${this.#clock.now.toFixed(1)} ${text} ${JSON.stringify(fields)}`,
		);
	}
}
