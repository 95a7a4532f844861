import type {Random} from '../../base/index.js';
import type {EntryToSidecar} from '../../interfaces/index.js';
import {Admission} from './admission.js';
import {Attempts} from './attempts.js';
import {Claims} from './claims.js';
import type {SidecarEffect, SidecarMessage} from './message.js';
import {Runs} from './runs.js';
import type {Scheduler} from './scheduler.js';

/** Interval between messages that indicates a pause of the process, in milliseconds; entries drop a link after the same time. */
const pauseThresholdMs = 3000;

/** Maximum interval between messages while work is queued, so that a pause can be detected, in milliseconds. */
const maxCheckIntervalMs = 1000;

/** Time for which a leaving sidecar waits for table writes after its last attempt, in milliseconds. */
const drainTimeoutMs = 5000;

export type SidecarOptions = {
	/** Name of the endpoint that the sidecar serves. */
	readonly endpoint?: string;
	/** Identity of this process; new after each start. */
	readonly incarnation: string;
	readonly scheduler: Scheduler;
	/** Wall-clock time at monotonic time 0, in milliseconds since 1970; used for the times in run records. */
	readonly epochMs?: number;
	/** Spreads the sweeps of expired run records; without it there are none. */
	readonly random?: Random;
};

/** State machine of one endpoint's sidecar: decides which attempts run and in which order, and what is sent to the entries. */
export class Sidecar {
	readonly #options: SidecarOptions;
	readonly #attempts: Attempts;
	readonly #claims: Claims;
	readonly #admission: Admission;
	readonly #runs: Runs;
	#lastHandledAt: number | undefined;
	#drainDeadline: number | undefined;
	#isDrained = false;
	#effects: SidecarEffect[] = [];

	constructor(options: SidecarOptions) {
		this.#options = options;
		const emit = (effect: SidecarEffect) => {
			this.#effects.push(effect);
		};

		this.#attempts = new Attempts(options.incarnation, emit);
		this.#admission = new Admission(options.incarnation);
		this.#claims = new Claims({
			endpoint: options.endpoint ?? options.incarnation,
			incarnation: options.incarnation,
			epochMs: options.epochMs ?? 0,
			random: options.random,
		});
		this.#runs = new Runs({
			attempts: this.#attempts,
			claims: this.#claims,
			admission: this.#admission,
			scheduler: options.scheduler,
			emit,
		});
	}

	handle(message: SidecarMessage, now: number): SidecarEffect[] {
		this.#effects = [];
		if (now - (this.#lastHandledAt ?? now) > pauseThresholdMs) {
			this.#runs.paused(now);
		}

		this.#lastHandledAt = now;
		switch (message.type) {
			case 'peer': {
				this.#onPeer(message.link, message.message, now);
				break;
			}

			case 'linkLost': {
				this.#runs.linkLost(message.link, now);
				break;
			}

			case 'endpoint': {
				this.#runs.endpointEvent(message.attempt, message.event, now);
				break;
			}

			case 'targets': {
				this.#admission.setTargets(message.targets);
				break;
			}

			case 'leave': {
				this.#admission.leave();
				this.#runs.leaving(now);
				this.#effects.push({type: 'log', event: 'leaving', fields: {}});
				break;
			}

			case 'load': {
				this.#options.scheduler.onLoadReport(message.report, now);
				break;
			}

			case 'cache': {
				this.#options.scheduler.onCacheEvents(message.events, now);
				break;
			}

			case 'table': {
				this.#claims.answer(message.id, message.answer, now);
				break;
			}

			case 'tick': {
				break;
			}
		}

		this.#runs.advance(now);
		this.#drain(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		const times = [
			this.#attempts.nextWake(),
			this.#claims.nextWake(),
			this.#options.scheduler.nextWake(),
			this.#runs.queued > 0
				? this.#lastHandledAt! + maxCheckIntervalMs
				: undefined,
			this.#isDrained ? undefined : this.#drainDeadline,
		].filter((time) => time !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	}

	dump(): unknown {
		return {
			incarnation: this.#options.incarnation,
			leaving: this.#admission.isLeaving,
			targets: this.#admission.targets,
			attempts: this.#attempts.all().map((attempt) => ({
				id: attempt.id,
				state: attempt.state,
				sequence: attempt.sequence,
				attached: attempt.link !== undefined,
				paused: attempt.paused,
			})),
			past: this.#attempts.pastSize,
			tableWork: this.#claims.size,
			scheduler: this.#options.scheduler.dump(),
		};
	}

	#onPeer(link: string, message: EntryToSidecar, now: number): void {
		switch (message.type) {
			case 'offer': {
				const refusal = this.#admission.refusal(message.profile);
				const reply = refusal
					? ({type: 'refuse', refusal} as const)
					: this.#options.scheduler.offer(message.profile, now);
				this.#effects.push({
					type: 'send',
					link,
					message: {type: 'offerReply', id: message.id, reply},
				});
				break;
			}

			case 'start': {
				this.#runs.start(link, message, now);
				break;
			}

			case 'cancel': {
				this.#runs.cancel(link, message, now);
				break;
			}

			case 'detach': {
				this.#runs.detach(link, message.attempt, now);
				break;
			}

			case 'query': {
				this.#runs.query(link, message, now);
				break;
			}

			case 'attach': {
				this.#attempts.attach(link, message, now);
				break;
			}

			case 'credit': {
				this.#attempts.credit(message.attempt, message.upTo);
				break;
			}
		}
	}

	#drain(now: number): void {
		if (
			!this.#admission.isLeaving ||
			this.#runs.unfinished > 0 ||
			this.#isDrained
		) {
			return;
		}

		this.#drainDeadline ??= now + drainTimeoutMs;
		if (this.#claims.size === 0 || this.#drainDeadline <= now) {
			this.#isDrained = true;
			this.#effects.push({type: 'drained'});
		}
	}
}
