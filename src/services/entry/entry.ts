import type {Random} from '../../base/index.js';
import type {
	OfferReply,
	Outcome,
	Profile,
	Refusal,
	SidecarToEntry,
	Update,
} from '../../platform/index.js';
import type {EndpointView} from '../records/index.js';
import {offerCount, orderCandidates, type Place} from './candidates.js';
import {remainingProfile} from './remaining-profile.js';
import type {
	CallerRequest,
	EntryEffect,
	EntryMessage,
	Failure,
} from './message.js';

/** Time after which an offer without a reply counts as refused, in milliseconds. */
const offerTimeoutMs = 250;

type Attempt = {
	readonly id: string;
	readonly endpoint: EndpointView;
	/** The sidecar has handed the call to its endpoint. */
	started: boolean;
};

type Progress = {
	readonly request: CallerRequest;
	readonly deadline: number;
	/** Endpoints that have not been asked yet. */
	readonly candidates: EndpointView[];
	/** Offers without a reply, by endpoint name. */
	readonly offers: Map<string, EndpointView>;
	offersExpireAt: number;
	readonly accepted: Array<{endpoint: EndpointView; firstTokenMs: number}>;
	readonly refusals: Refusal[];
	asked: number;
	attempts: number;
	attempt: Attempt | undefined;
	headSent: boolean;
	/** Sequence number of the last chunk that was handed to the caller. */
	sequence: number;
	/** Answer so far, from which another endpoint can continue. */
	readonly chunks: string[];
	tokens: number;
};

export type EntryOptions = {
	readonly place: Place;
	readonly random: Random;
	/** Extracts the generated text from the chunks of an answer. */
	readonly textOf: (chunks: readonly string[]) => string;
};

/** Decides for each caller's request where it runs, and what the caller is told. */
export class Entry {
	readonly #options: EntryOptions;
	readonly #requests = new Map<string, Progress>();
	readonly #incarnations = new Map<string, string>();
	#leaving = false;
	#effects: EntryEffect[] = [];

	constructor(options: EntryOptions) {
		this.#options = options;
	}

	handle(message: EntryMessage, now: number): EntryEffect[] {
		this.#effects = [];
		switch (message.type) {
			case 'request': {
				this.#onRequest(message.request, now);
				break;
			}

			case 'callerGone': {
				this.#onCallerGone(message.requestId);
				break;
			}

			case 'taken': {
				this.#onTaken(message.requestId, message.upTo);
				break;
			}

			case 'linkUp': {
				this.#incarnations.set(message.endpoint, message.incarnation);
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

			case 'table':
			case 'tick': {
				break;
			}
		}

		this.#advance(now);
		return this.#effects;
	}

	nextWake(): number | undefined {
		let earliest: number | undefined;
		for (const progress of this.#requests.values()) {
			const time =
				progress.offers.size > 0
					? Math.min(progress.offersExpireAt, progress.deadline)
					: progress.deadline;
			earliest = Math.min(earliest ?? time, time);
		}

		return earliest;
	}

	dump(): unknown {
		return {
			leaving: this.#leaving,
			links: Object.fromEntries(this.#incarnations),
			requests: [...this.#requests.values()].map((progress) => ({
				id: progress.request.id,
				workspace: progress.request.profile.contract.workspace,
				attempt: progress.attempt?.id,
				endpoint: progress.attempt?.endpoint.name,
				started: progress.attempt?.started,
				sequence: progress.sequence,
			})),
		};
	}

	#onRequest(request: CallerRequest, now: number): void {
		const progress: Progress = {
			request,
			deadline: now + request.timeoutMs,
			candidates: orderCandidates(
				request.endpoints.filter((endpoint) => !endpoint.leaving),
				request.profile.prefix,
				this.#options.place,
				this.#options.random,
			),
			offers: new Map(),
			offersExpireAt: 0,
			accepted: [],
			refusals: [],
			asked: 0,
			attempts: 0,
			attempt: undefined,
			headSent: false,
			sequence: 0,
			chunks: [],
			tokens: 0,
		};
		this.#requests.set(request.id, progress);
		if (this.#leaving) {
			this.#end(progress, 'not_run', {
				status: 503,
				code: 'entry_leaving',
				text: 'this entry is stopping; use another one',
				retryAfterMs: 0,
			});
			return;
		}

		this.#ask(progress, now);
	}

	/** Sends offers to the next candidates, or ends the request when none is left. */
	#ask(progress: Progress, now: number): void {
		const next = progress.candidates.splice(0, offerCount);
		if (next.length === 0) {
			this.#giveUp(progress);
			return;
		}

		progress.accepted.length = 0;
		progress.offersExpireAt = now + offerTimeoutMs;
		progress.asked += next.length;
		for (const endpoint of next) {
			progress.offers.set(endpoint.name, endpoint);
			this.#send(endpoint, {
				type: 'offer',
				id: progress.request.id,
				profile: this.#profile(progress, now),
				remainingMs: progress.deadline - now,
			});
		}
	}

	#onOfferReply(
		endpointName: string,
		id: string,
		reply: OfferReply,
		now: number,
	): void {
		const progress = this.#requests.get(id);
		const endpoint = progress?.offers.get(endpointName);
		if (!progress || !endpoint) {
			return;
		}

		progress.offers.delete(endpointName);
		switch (reply.type) {
			case 'accept': {
				progress.accepted.push({
					endpoint,
					firstTokenMs: reply.firstTokenMs,
				});
				break;
			}

			case 'refuse': {
				progress.refusals.push(reply.refusal);
				break;
			}
		}

		if (progress.offers.size === 0) {
			this.#choose(progress, now);
		}
	}

	/** Starts an attempt at the best endpoint that accepted, or asks further ones. */
	#choose(progress: Progress, now: number): void {
		progress.accepted.sort((a, b) => a.firstTokenMs - b.firstTokenMs);
		const best = progress.accepted.shift();
		if (!best) {
			this.#ask(progress, now);
			return;
		}

		const incarnation = this.#incarnations.get(best.endpoint.name);
		if (incarnation === undefined) {
			this.#choose(progress, now);
			return;
		}

		const {request} = progress;
		progress.attempts++;
		progress.attempt = {
			id: `${request.id}.${progress.attempts}`,
			endpoint: best.endpoint,
			started: false,
		};
		this.#send(best.endpoint, {
			type: 'start',
			attempt: progress.attempt.id,
			requestId: request.id,
			incarnation,
			profile: this.#profile(progress, now),
			call: request.call,
			idempotent: request.idempotent,
			idempotencyKey: request.idempotencyKey,
			resumable: request.resumable,
			remainingMs: progress.deadline - now,
			resume:
				progress.sequence === 0
					? undefined
					: {
							sequence: progress.sequence,
							text: this.#options.textOf(progress.chunks),
							tokens: progress.tokens,
						},
		});
	}

	#onPeer(endpoint: string, message: SidecarToEntry, now: number): void {
		switch (message.type) {
			case 'offerReply': {
				this.#onOfferReply(endpoint, message.id, message.reply, now);
				break;
			}

			case 'update': {
				this.#onUpdate(message.update, now);
				break;
			}
		}
	}

	#onUpdate(update: Update, now: number): void {
		const requestId = update.attempt.slice(0, update.attempt.lastIndexOf('.'));
		const progress = this.#requests.get(requestId);
		if (progress?.attempt?.id !== update.attempt) {
			return;
		}

		switch (update.type) {
			case 'refused': {
				progress.refusals.push(update.refusal);
				progress.attempt = undefined;
				this.#choose(progress, now);
				break;
			}

			case 'started': {
				progress.attempt.started = true;
				break;
			}

			case 'head': {
				this.#onHead(progress, update);
				break;
			}

			case 'chunk': {
				this.#onChunk(progress, update);
				break;
			}

			case 'ended': {
				this.#onEnded(progress, update, now);
				break;
			}
		}
	}

	#onHead(progress: Progress, head: Extract<Update, {type: 'head'}>): void {
		if (progress.headSent) {
			return;
		}

		progress.headSent = true;
		this.#effects.push({
			type: 'head',
			requestId: progress.request.id,
			status: head.status,
			headers: head.headers,
			binary: head.binary,
		});
	}

	#onChunk(progress: Progress, chunk: Extract<Update, {type: 'chunk'}>): void {
		if (chunk.sequence !== progress.sequence + 1) {
			return;
		}

		progress.sequence = chunk.sequence;
		progress.tokens += chunk.tokens;
		if (progress.request.idempotent) {
			progress.chunks.push(chunk.data);
		}

		this.#effects.push({
			type: 'chunk',
			requestId: progress.request.id,
			eventId: `${progress.attempt!.endpoint.name}/${chunk.attempt}/${chunk.sequence}`,
			sequence: chunk.sequence,
			data: chunk.data,
		});
	}

	#onEnded(
		progress: Progress,
		ended: Extract<Update, {type: 'ended'}>,
		now: number,
	): void {
		if (ended.outcome === 'completed') {
			this.#end(progress, 'completed');
		} else if (progress.request.idempotent) {
			progress.attempt = undefined;
			this.#ask(progress, now);
		} else {
			this.#end(progress, ended.outcome, {
				status: 502,
				code: 'endpoint_failed',
				text: `the endpoint failed after the request had started: ${ended.reason}`,
				retryAfterMs: undefined,
			});
		}
	}

	#onLinkLost(endpoint: string, now: number): void {
		this.#incarnations.delete(endpoint);
		for (const progress of this.#requests.values()) {
			if (progress.offers.delete(endpoint) && progress.offers.size === 0) {
				this.#choose(progress, now);
			} else if (progress.attempt?.endpoint.name === endpoint) {
				this.#onAttemptLost(progress, now);
			}
		}
	}

	#onAttemptLost(progress: Progress, now: number): void {
		progress.attempt = undefined;
		if (progress.request.idempotent) {
			this.#ask(progress, now);
			return;
		}

		this.#end(progress, 'unknown', {
			status: 502,
			code: 'outcome_unknown',
			text: 'the connection to the endpoint was lost; the request may have run',
			retryAfterMs: undefined,
		});
	}

	#onCallerGone(requestId: string): void {
		const progress = this.#requests.get(requestId);
		if (!progress) {
			return;
		}

		if (progress.attempt && !progress.request.resumable) {
			this.#send(progress.attempt.endpoint, {
				type: 'cancel',
				attempt: progress.attempt.id,
			});
		}

		this.#requests.delete(requestId);
	}

	#onTaken(requestId: string, upTo: number): void {
		const attempt = this.#requests.get(requestId)?.attempt;
		if (attempt) {
			this.#send(attempt.endpoint, {type: 'credit', attempt: attempt.id, upTo});
		}
	}

	#giveUp(progress: Progress): void {
		const overloaded = progress.refusals.filter(
			(refusal) => refusal.reason === 'overloaded',
		);
		const waits = (overloaded.length > 0 ? overloaded : progress.refusals).map(
			(refusal) => refusal.retryAfterMs,
		);
		const retryAfterMs = waits.length > 0 ? Math.min(...waits) : 1000;
		if (progress.sequence > 0) {
			this.#end(progress, 'failed', {
				status: 502,
				code: 'answer_cut',
				text: 'the endpoint failed and no other one could continue the answer',
				retryAfterMs,
			});
			return;
		}

		this.#end(progress, 'not_run', {
			status: overloaded.length > 0 ? 429 : 503,
			code: overloaded.length > 0 ? 'overloaded' : 'no_endpoint',
			text:
				overloaded.length > 0
					? 'no endpoint can meet the target of this class at present'
					: 'no endpoint can serve this request at present',
			retryAfterMs,
		});
	}

	#end(progress: Progress, outcome: Outcome, failure?: Failure): void {
		this.#requests.delete(progress.request.id);
		this.#effects.push({
			type: 'end',
			requestId: progress.request.id,
			outcome,
			failure,
			offers: progress.asked,
		});
	}

	#advance(now: number): void {
		for (const progress of this.#requests.values()) {
			if (progress.deadline <= now) {
				this.#onDeadline(progress);
			} else if (progress.offers.size > 0 && progress.offersExpireAt <= now) {
				progress.offers.clear();
				this.#choose(progress, now);
			}
		}

		if (this.#leaving && this.#requests.size === 0) {
			this.#effects.push({type: 'drained'});
		}
	}

	#onDeadline(progress: Progress): void {
		const {attempt} = progress;
		if (attempt) {
			this.#send(attempt.endpoint, {type: 'cancel', attempt: attempt.id});
		}

		const started = attempt !== undefined || progress.sequence > 0;
		this.#end(progress, started ? 'unknown' : 'not_run', {
			status: 504,
			code: 'timeout',
			text: 'the request reached its timeout',
			retryAfterMs: undefined,
		});
	}

	/** Target that is left; an answer that continues elsewhere gets the whole target again. */
	#profile({request, deadline, sequence}: Progress, now: number): Profile {
		const elapsedMs = now - (deadline - request.timeoutMs);
		return sequence > 0
			? request.profile
			: remainingProfile(request.profile, elapsedMs);
	}

	#send(
		endpoint: EndpointView,
		message: Extract<EntryEffect, {type: 'send'}>['message'],
	): void {
		this.#effects.push({
			type: 'send',
			endpoint: endpoint.name,
			address: endpoint.address,
			message,
		});
	}
}
