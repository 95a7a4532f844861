import type {Random} from '../../base/index.js';
import type {EntryToSidecar, OfferReply} from '../../platform/index.js';
import type {EndpointView} from '../records/index.js';
import {
	maxOffers,
	offerCount,
	orderCandidates,
	type Place,
} from './candidates.js';
import type {Progress} from './progress.js';
import {currentProfile} from './remaining-profile.js';

/** Time after which an offer without a reply counts as refused, in milliseconds. */
const offerTimeoutMs = 250;

export type SelectionOptions = {
	readonly place: Place;
	readonly random: Random;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Finds the endpoint for a request's next attempt, by rounds of offers. */
export class Selection {
	readonly #options: SelectionOptions;

	constructor(options: SelectionOptions) {
		this.#options = options;
	}

	/** Starts anew with all eligible endpoints; those at which the request has failed come last. */
	reset(progress: Progress): void {
		const {request, failedAt} = progress;
		const eligible = request.endpoints.filter(({leaving}) => !leaving);
		const order = (endpoints: EndpointView[]) =>
			orderCandidates(
				endpoints,
				request.profile.prefix,
				this.#options.place,
				this.#options.random,
			);
		progress.candidates = [
			...order(eligible.filter(({name}) => !failedAt.has(name))),
			...order(eligible.filter(({name}) => failedAt.has(name))),
		].slice(0, maxOffers);
		progress.accepted = [];
		progress.offers.clear();
		progress.rounds = 0;
	}

	/** Sends the next round of offers; returns false when every candidate has been asked. */
	ask(progress: Progress, now: number): boolean {
		// The first round keeps the message rate low; a request that it cannot place asks the rest quickly.
		const count = progress.rounds === 0 ? offerCount : maxOffers;
		const next = progress.candidates.splice(0, count);
		progress.rounds++;
		progress.asked += next.length;
		progress.offersExpireAt = now + offerTimeoutMs;
		for (const endpoint of next) {
			progress.offers.set(endpoint.name, endpoint);
			this.#options.send(endpoint, {
				type: 'offer',
				id: progress.request.id,
				profile: currentProfile(progress, now),
				remainingMs: progress.deadline - now,
			});
		}

		return next.length > 0;
	}

	/** Notes a reply; returns true when it was the last one of its round. */
	reply(progress: Progress, endpointName: string, reply: OfferReply): boolean {
		const endpoint = progress.offers.get(endpointName);
		if (!endpoint) {
			return false;
		}

		progress.offers.delete(endpointName);
		switch (reply.type) {
			case 'accept': {
				const {firstTokenMs} = reply;
				progress.accepted.push({endpoint, firstTokenMs});
				break;
			}

			case 'refuse': {
				progress.refusals.push(reply.refusal);
				break;
			}
		}

		return progress.offers.size === 0;
	}

	/** Removes and returns the endpoint that promises the earliest first token. */
	take(progress: Progress): EndpointView | undefined {
		progress.accepted.sort((a, b) => a.firstTokenMs - b.firstTokenMs);
		return progress.accepted.shift()?.endpoint;
	}
}
