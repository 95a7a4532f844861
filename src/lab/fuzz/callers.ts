import type {EndpointView, EntryEffect} from '../../services/index.js';
import type {VirtualClock} from '../virtual-clock.js';
import {requestHeader, type AnswerSpec} from './answer.js';
import type {History, SentRequest} from './history.js';
import type {EntryHost} from './network.js';
import type {Plan, RequestStep} from './plan.js';

/** Latency between callers and entries, one way, in milliseconds. */
export const callerLatencyMs = 3;

const tiers = {tight: 0, loose: 1} as const;

/** Simulated callers: send the requests of a plan and record the answers of the entries. */
export class Callers {
	readonly #clock: VirtualClock;
	readonly #history: History;
	readonly #plan: Plan;
	readonly #steps = new Map<string, RequestStep>();
	/** Called when the caller of a resumable request reconnects after it lost or closed its connection. */
	readonly #onReturnDue: (sent: SentRequest, step: RequestStep) => void;

	constructor(
		clock: VirtualClock,
		history: History,
		plan: Plan,
		onReturnDue: (sent: SentRequest, step: RequestStep) => void,
	) {
		this.#onReturnDue = onReturnDue;
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
		isProbe: boolean,
	): void {
		const {incarnation} = entry;
		if (incarnation === undefined) {
			// The connection is refused: nothing was sent.
			return;
		}

		const workspace = `workspace-${step.workspace}`;
		const isKeyed = step.key !== undefined && step.target === 'service';
		// Requests of one key are the same request, so they have the same length.
		const length = isKeyed ? (step.key! % 7) + 1 : step.length;
		const identity = isKeyed ? `${workspace}.key-${step.key!}` : id;
		const sent: SentRequest = {
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
			keyed: isKeyed,
			isProbe,
			hasArrived: false,
			disconnectedAt: undefined,
			connectionLostAt: undefined,
			heads: 0,
			text: '',
			sequences: [],
			lastEventId: undefined,
			ends: [],
			effectsAfterEnd: 0,
		};
		this.#history.sent.set(id, sent);
		this.#steps.set(id, step);
		this.#trace(`${id} sent to ${incarnation}`, {identity, length});
		const spec: AnswerSpec = {
			identity,
			keyed: isKeyed,
			length,
		};
		this.#clock.after(callerLatencyMs, () => {
			if (entry.incarnation !== incarnation) {
				// The connection is refused: the entry never received the request.
				this.#history.sent.delete(id);
				return;
			}

			sent.hasArrived = true;
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
						body: JSON.stringify(spec),
					},
					idempotent: !isKeyed,
					idempotencyKey: isKeyed ? `key-${step.key!}` : undefined,
					resumable: step.resumable,
					timeoutMs: step.timeoutMs,
					endpoints,
				},
			});
		});
		if (step.goneAfterMs !== undefined) {
			this.#clock.after(step.goneAfterMs, () => {
				this.#disconnect(sent, entry);
			});
		}
	}

	/** Breaks the connections of the callers of an entry process that has ended. */
	onEntryExit(incarnation: string): void {
		for (const sent of this.#history.sent.values()) {
			if (
				sent.entryIncarnation === incarnation &&
				sent.hasArrived &&
				sent.ends.length === 0
			) {
				sent.connectionLostAt ??= this.#clock.now;
				this.#scheduleReturn(sent);
			}
		}
	}

	/** Requests whose callers are still connected to an entry process and have no final answer. */
	waitingAt(incarnation: string): SentRequest[] {
		return [...this.#history.sent.values()].filter(
			(sent) =>
				sent.entryIncarnation === incarnation &&
				sent.hasArrived &&
				sent.ends.length === 0 &&
				sent.disconnectedAt === undefined &&
				sent.connectionLostAt === undefined,
		);
	}

	onHead(effect: Extract<EntryEffect, {type: 'head'}>): void {
		const sent = this.#receiverOf(effect.requestId);
		if (sent) {
			sent.heads++;
		}
	}

	onChunk(
		effect: Extract<EntryEffect, {type: 'chunk'}>,
		entry: EntryHost,
		incarnation: string,
	): void {
		const sent = this.#receiverOf(effect.requestId);
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
					type: 'acknowledged',
					requestId: effect.requestId,
					upTo: effect.sequence,
				});
			},
		);
	}

	onEnd(effect: Extract<EntryEffect, {type: 'end'}>): void {
		const sent = this.#receiverOf(effect.requestId);
		if (!sent) {
			return;
		}

		const code = effect.failure?.code;
		sent.ends.push({at: this.#clock.now, outcome: effect.outcome, code});
		this.#trace(`${sent.id} ends with ${effect.outcome}`, {code});
	}

	#disconnect(sent: SentRequest, entry: EntryHost): void {
		if (sent.ends.length > 0 || sent.connectionLostAt !== undefined) {
			return;
		}

		sent.disconnectedAt = this.#clock.now;
		this.#scheduleReturn(sent);
		this.#trace(`${sent.id} caller disconnected`, {});
		this.#clock.after(callerLatencyMs, () => {
			entry.deliver(sent.entryIncarnation, {
				type: 'callerGone',
				requestId: sent.id,
			});
		});
	}

	#scheduleReturn(sent: SentRequest): void {
		const step = this.#steps.get(sent.id)!;
		if (sent.resumable && step.returnAfterMs !== undefined) {
			this.#clock.after(step.returnAfterMs, () => {
				this.#onReturnDue(sent, step);
			});
		}
	}

	/** The request that an effect is for, or undefined when its caller is disconnected; counts effects that follow the final answer. */
	#receiverOf(id: string): SentRequest | undefined {
		const sent = this.#history.sent.get(id);
		if (!sent) {
			this.#history.exceptions.push(`effect for unknown request ${id}`);
			return undefined;
		}

		if (sent.ends.length > 0) {
			sent.effectsAfterEnd++;
		}

		return sent.disconnectedAt === undefined &&
			sent.connectionLostAt === undefined
			? sent
			: undefined;
	}

	#trace(text: string, fields: Record<string, unknown>): void {
		this.#history.lines.push(
			`${this.#clock.now.toFixed(1)} ${text} ${JSON.stringify(fields)}`,
		);
	}
}
