import type {Random} from '../base/index.js';
import type {
	EntryToSidecar,
	SidecarToEntry,
	Update,
} from '../interfaces/index.js';
import type {
	CallerRequest,
	EndpointView,
	EntryEffect,
	EntryMessage,
} from '../services/index.js';

/** How a baseline chooses an endpoint; the last two compare its own counts of outstanding requests. */
export type DirectChoice = 'roundRobin' | 'leastOutstanding' | 'twoChoices';

type RequestProgress = {
	readonly request: CallerRequest;
	readonly deadline: number;
	readonly tried: Set<string>;
	endpoint: EndpointView;
	attempts: number;
	sequence: number;
	tokens: number;
};

/** Baseline for experiments: replaces the entry and starts attempts without requesting offers. */
export class DirectRouter {
	readonly #choice: DirectChoice;
	readonly #random: Random;
	readonly #incarnations = new Map<string, string>();
	readonly #outstanding = new Map<string, number>();
	readonly #requests = new Map<string, RequestProgress>();
	#nextIndex = 0;
	#effects: EntryEffect[] = [];

	constructor(choice: DirectChoice, random: Random) {
		this.#choice = choice;
		this.#random = random;
	}

	handle(message: EntryMessage, now: number): EntryEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'request': {
				this.#onRequest(message.request, now);
				break;
			}

			case 'linkUp': {
				this.#incarnations.set(message.endpoint, message.incarnation);
				break;
			}

			case 'peer': {
				this.#onPeer(message.message, now);
				break;
			}

			case 'tick': {
				this.#onTick(now);
				break;
			}

			case 'events':
			case 'query':
			case 'callerGone':
			case 'acknowledged':
			case 'linkLost':
			case 'table':
			case 'leave': {
				break;
			}
		}

		return this.#effects;
	}

	nextWake(): number | undefined {
		let earliest: number | undefined;
		for (const {deadline} of this.#requests.values()) {
			earliest = Math.min(earliest ?? deadline, deadline);
		}

		return earliest;
	}

	#onRequest(request: CallerRequest, now: number): void {
		const endpoint = this.#choose(request.endpoints);
		const progress: RequestProgress = {
			request,
			deadline: now + request.timeoutMs,
			tried: new Set(),
			endpoint,
			attempts: 0,
			sequence: 0,
			tokens: 0,
		};
		this.#requests.set(request.id, progress);
		this.#start(progress, now);
	}

	#choose(endpoints: readonly EndpointView[]): EndpointView {
		switch (this.#choice) {
			case 'roundRobin': {
				return endpoints[this.#nextIndex++ % endpoints.length]!;
			}

			case 'leastOutstanding': {
				return this.#leastLoaded(endpoints);
			}

			case 'twoChoices': {
				return this.#leastLoaded(this.#random.sample(endpoints, 2));
			}
		}
	}

	#leastLoaded(endpoints: readonly EndpointView[]): EndpointView {
		return endpoints.toSorted(
			(a, b) => this.#outstandingCount(a.name) - this.#outstandingCount(b.name),
		)[0]!;
	}

	#outstandingCount(endpoint: string): number {
		return this.#outstanding.get(endpoint) ?? 0;
	}

	#start(progress: RequestProgress, now: number): void {
		const {request, endpoint} = progress;
		progress.attempts++;
		progress.tried.add(endpoint.name);
		this.#outstanding.set(
			endpoint.name,
			this.#outstandingCount(endpoint.name) + 1,
		);
		this.#send(endpoint, {
			type: 'start',
			attempt: `${request.id}.${progress.attempts}`,
			requestId: request.id,
			incarnation: this.#incarnations.get(endpoint.name) ?? '',
			profile: request.profile,
			call: request.call,
			idempotent: request.idempotent,
			resumable: false,
			remainingMs: progress.deadline - now,
			resume:
				progress.sequence === 0
					? undefined
					: {sequence: progress.sequence, text: '', tokens: progress.tokens},
		});
	}

	#onPeer(message: SidecarToEntry, now: number): void {
		if (message.type !== 'update') {
			return;
		}

		const {update} = message;
		const id = update.attempt.slice(0, update.attempt.lastIndexOf('.'));
		const progress = this.#requests.get(id);
		if (progress && update.attempt === `${id}.${progress.attempts}`) {
			this.#onUpdate(progress, update, now);
		}
	}

	#onUpdate(progress: RequestProgress, update: Update, now: number): void {
		switch (update.type) {
			case 'refused': {
				this.#retry(progress, now);
				break;
			}

			case 'chunk': {
				progress.sequence = update.sequence;
				progress.tokens += update.tokens;
				this.#effects.push({
					type: 'chunk',
					requestId: progress.request.id,
					eventId: '',
					sequence: update.sequence,
					data: update.data,
				});
				break;
			}

			case 'ended': {
				if (update.outcome === 'completed') {
					this.#end(progress, 'completed');
				} else {
					this.#retry(progress, now);
				}

				break;
			}

			case 'started':
			case 'head': {
				break;
			}
		}
	}

	/** Starts the next attempt at an untried endpoint; ends the request when there is none. */
	#retry(progress: RequestProgress, now: number): void {
		const {request, endpoint, tried} = progress;
		this.#outstanding.set(
			endpoint.name,
			this.#outstandingCount(endpoint.name) - 1,
		);
		const others = request.endpoints.filter(({name}) => !tried.has(name));
		if (others.length === 0) {
			this.#requests.delete(request.id);
			this.#pushEnd(request.id, progress.sequence > 0 ? 'failed' : 'not_run');
			return;
		}

		progress.endpoint = this.#choose(others);
		this.#start(progress, now);
	}

	#onTick(now: number): void {
		for (const progress of this.#requests.values()) {
			if (progress.deadline <= now) {
				this.#send(progress.endpoint, {
					type: 'cancel',
					attempt: `${progress.request.id}.${progress.attempts}`,
				});
				this.#end(progress, 'unknown');
			}
		}
	}

	#end(progress: RequestProgress, outcome: 'completed' | 'unknown'): void {
		const {name} = progress.endpoint;
		this.#outstanding.set(name, this.#outstandingCount(name) - 1);
		this.#requests.delete(progress.request.id);
		this.#pushEnd(progress.request.id, outcome);
	}

	#pushEnd(
		requestId: string,
		outcome: Extract<EntryEffect, {type: 'end'}>['outcome'],
	): void {
		this.#effects.push({type: 'end', requestId, outcome, offers: 0});
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
