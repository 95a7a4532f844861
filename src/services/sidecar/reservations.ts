import type {Profile} from '../../interfaces/index.js';

/** Time for which offered work counts as backlog, in milliseconds; covers the round trip to the entry. */
const reservationMs = 50;
/** Weight of a new sample in the part of the offers that lead to a start. */
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

/** Work that was offered a place and has not started yet, each weighted by the chance that it does. */
export class Reservations {
	/** In order of expiry. */
	readonly #list: Reservation[] = [];
	/** An entry asks about three endpoints and starts at one. */
	#startChance = 1 / 3;

	add(profile: Profile, occupancyMs: number, now: number): void {
		this.#expire(now);
		this.#list.push({
			key: keyOf(profile),
			tier: profile.contract.tier,
			occupancyMs,
			expiresAt: now + reservationMs,
		});
	}

	/** Ends the reservation of work that starts now, if there is one. */
	take(profile: Profile, now: number): void {
		this.#expire(now);
		const key = keyOf(profile);
		const index = this.#list.findIndex((item) => item.key === key);
		if (index !== -1) {
			this.#list.splice(index, 1);
			this.#learn(1);
		}
	}

	/** Expected occupancy, in milliseconds, of reserved work of this tier or a higher one. */
	occupancyMs(tier: number, now: number): number {
		this.#expire(now);
		let sum = 0;
		for (const item of this.#list) {
			sum += item.tier <= tier ? item.occupancyMs : 0;
		}

		return sum * this.#startChance;
	}

	#expire(now: number): void {
		let expired = 0;
		while (
			expired < this.#list.length &&
			this.#list[expired]!.expiresAt <= now
		) {
			expired++;
			this.#learn(0);
		}

		if (expired > 0) {
			this.#list.splice(0, expired);
		}
	}

	#learn(started: number): void {
		this.#startChance += (started - this.#startChance) * newSampleWeight;
	}
}
