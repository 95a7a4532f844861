import type {Profile} from '../../interfaces/index.js';

/** Time for which offered work counts as backlog, in milliseconds; covers the round trip to the entry. */
const reservationMs = 50;
/** Weight of a new sample in the moving average of the start probability. */
const newSampleWeight = 0.02;

type Reservation = {
	readonly key: string;
	readonly tier: number;
	readonly occupancyMs: number;
	readonly expiresAt: number;
};

function keyOf(profile: Profile): string {
	const {requestClass, workspace} = profile.contract;
	return `${requestClass}\n${workspace}\n${profile.target}\n${profile.promptTokens}`;
}

/** Outstanding offers: accepted work that has not arrived yet, weighted by the probability that it does. */
export class Reservations {
	/** In order of expiry. */
	readonly #reservations: Reservation[] = [];
	/** Fraction of the offers that lead to a start; initially 1/3, as an entry requests three offers and starts at one endpoint. */
	#startProbability = 1 / 3;

	add(profile: Profile, occupancyMs: number, now: number): void {
		this.#expire(now);
		this.#reservations.push({
			key: keyOf(profile),
			tier: profile.contract.tier,
			occupancyMs,
			expiresAt: now + reservationMs,
		});
	}

	/** Ends the reservation of work that arrives now, if there is one. */
	consume(profile: Profile, now: number): void {
		this.#expire(now);
		const key = keyOf(profile);
		const index = this.#reservations.findIndex((item) => item.key === key);
		if (index !== -1) {
			this.#reservations.splice(index, 1);
			this.#updateStartProbability(1);
		}
	}

	/** Expected occupancy, in milliseconds, of reserved work of this tier or a higher one. */
	occupancyMs(tier: number, now: number): number {
		this.#expire(now);
		let sum = 0;
		for (const item of this.#reservations) {
			sum += item.tier <= tier ? item.occupancyMs : 0;
		}

		return sum * this.#startProbability;
	}

	#expire(now: number): void {
		let expired = 0;
		while (
			expired < this.#reservations.length &&
			this.#reservations[expired]!.expiresAt <= now
		) {
			expired++;
			this.#updateStartProbability(0);
		}

		if (expired > 0) {
			this.#reservations.splice(0, expired);
		}
	}

	#updateStartProbability(started: number): void {
		this.#startProbability +=
			(started - this.#startProbability) * newSampleWeight;
	}
}
