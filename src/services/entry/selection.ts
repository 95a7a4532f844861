import type {Random} from '../../base/index.js';
import type {EntryToSidecar, OfferReply} from '../../interfaces/index.js';
import type {EndpointView} from '../records/index.js';
import {
	maxOffers,
	firstRoundOffers,
	orderCandidates,
	type Locality,
} from './candidates.js';
import {Freshness} from './freshness.js';
import type {Outliers} from './outliers.js';
import type {AcceptedOffer, Progress} from './progress.js';
import {currentProfile} from './remaining-profile.js';

/** Time after which an offer without a reply counts as refused, in milliseconds. */
const offerTimeoutMs = 250;

export type SelectionOptions = {
	readonly locality: Locality;
	readonly random: Random;
	readonly outliers: Outliers;
	readonly send: (endpoint: EndpointView, message: EntryToSidecar) => void;
};

/** Selects the endpoint for a request's next attempt by sending offers in rounds. */
export class Selection {
	readonly #options: SelectionOptions;
	readonly #freshness = new Freshness();

	constructor(options: SelectionOptions) {
		this.#options = options;
	}

	/** Restarts the selection with all eligible endpoints; ejected ones, and then those at which the request has failed, come last. */
	reset(progress: Progress, now: number): void {
		const {request, failedAt} = progress;
		const eligible = request.endpoints.filter(
			({leaving, name}) => !leaving && !this.#freshness.isLeaving(name, now),
		);
		const names = eligible.map(({name}) => name);
		this.#freshness.recordSeen(names, now);
		const {ejected, probe} = this.#options.outliers.evaluate(
			request.profile.target,
			names,
			now,
		);
		const rank = ({name}: EndpointView): number => {
			if (failedAt.has(name)) {
				return 3;
			}

			return ejected.has(name) ? 2 : name === probe ? 0 : 1;
		};

		progress.candidates = [0, 1, 2, 3]
			.flatMap((wanted) =>
				orderCandidates(
					eligible.filter((endpoint) => rank(endpoint) === wanted),
					request.profile.prefix,
					this.#options.locality,
					this.#options.random,
				),
			)
			.slice(0, maxOffers);
		progress.accepted = [];
		progress.offers.clear();
		progress.rounds = 0;
	}

	/** Records a report by a sidecar that its endpoint is leaving. */
	recordLeaving(endpoint: string, now: number): void {
		this.#freshness.recordLeaving(endpoint, now);
	}

	/** Called when the link to a sidecar is lost: its endpoint may restart and no longer be leaving. */
	clearLeaving(endpoint: string): void {
		this.#freshness.clearLeaving(endpoint);
	}

	/** Called when a link to a sidecar has been opened. */
	applyIncarnation(endpoint: string, incarnation: string, now: number): void {
		this.#freshness.applyIncarnation(endpoint, incarnation, now);
	}

	/** Sends the next round of offers; returns false when no candidate is left. */
	ask(progress: Progress, now: number): boolean {
		// A small first round keeps the message rate low; if nobody accepts, offers go to all remaining candidates at once.
		const count = progress.rounds === 0 ? firstRoundOffers : maxOffers;
		const next = progress.candidates
			.filter(({name}) => !this.#freshness.isLeaving(name, now))
			.slice(0, count);
		const last = next.at(-1);
		progress.candidates.splice(
			0,
			last ? progress.candidates.indexOf(last) + 1 : maxOffers,
		);
		progress.rounds++;
		progress.offersSent += next.length;
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

	/** Records a reply; returns true when it was the last one of its round. */
	reply(
		progress: Progress,
		endpointName: string,
		reply: OfferReply,
		now: number,
	): boolean {
		const endpoint = progress.offers.get(endpointName);
		if (!endpoint) {
			return false;
		}

		progress.offers.delete(endpointName);
		switch (reply.type) {
			case 'accept': {
				const {firstTokenMs} = reply;
				const score =
					firstTokenMs +
					this.#freshness.penaltyMs(endpointName, firstTokenMs, now);
				progress.accepted.push({endpoint, firstTokenMs, score});
				break;
			}

			case 'refuse': {
				progress.refusals.push(reply.refusal);
				if (reply.refusal.reason === 'leaving') {
					this.recordLeaving(endpointName, now);
				}

				break;
			}
		}

		return progress.offers.size === 0;
	}

	/** Removes and returns the accepted offer with the smallest score. */
	takeBest(progress: Progress): AcceptedOffer | undefined {
		progress.accepted.sort((a, b) => a.score - b.score);
		return progress.accepted.shift();
	}
}
