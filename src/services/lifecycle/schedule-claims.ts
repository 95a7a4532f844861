import type {Schedule, TableAnswer} from '../../interfaces/index.js';
import {Claim} from './claim.js';
import {dueOccurrence, occurrenceKey} from './occurrence.js';

/** Claim of the occurrence of a schedule that is due. */
export type ScheduleClaim = {
	readonly schedule: Schedule;
	readonly claim: Claim;
};

type ScheduleClaimsOptions = {
	readonly endpoint: string;
	/** This run of the sidecar. */
	readonly incarnation: string;
	/** A number that this run has not used yet. */
	readonly nextNumber: () => number;
	/** Called once for each occurrence that this run has won; `key` is its row. */
	readonly fire: (schedule: Schedule, key: string) => void;
};

/** Claims the due occurrences of an endpoint's schedules, so that each fires once over all runs of the sidecar. */
export class ScheduleClaims {
	readonly #options: ScheduleClaimsOptions;
	#schedules: readonly Schedule[] = [];
	/** Claims of due occurrences that are not settled, by schedule. */
	readonly #claims = new Map<string, Claim>();
	/** Occurrences that this run has settled. */
	readonly #settled = new Set<string>();

	constructor(options: ScheduleClaimsOptions) {
		this.#options = options;
	}

	/** Replaces the schedules by those that name the endpoint now. */
	setSchedules(schedules: readonly Schedule[]): void {
		this.#schedules = schedules;
	}

	/** Starts claims of the occurrences that are due at a wall-clock time in milliseconds, and drops those of the others. */
	look(wallMs: number): void {
		const {endpoint, incarnation, nextNumber} = this.#options;
		const due = new Set<string>();
		for (const schedule of this.#schedules) {
			const occurrence = dueOccurrence(schedule, wallMs);
			if (occurrence === undefined) {
				continue;
			}

			const key = occurrenceKey(schedule.name, occurrence, endpoint);
			if (this.#settled.has(key)) {
				continue;
			}

			due.add(schedule.name);
			if (this.#claims.get(schedule.name)?.key !== key) {
				const by = `${incarnation}/${nextNumber()}`;
				this.#claims.set(schedule.name, new Claim(key, by));
			}
		}

		for (const name of this.#claims.keys()) {
			if (!due.has(name)) {
				this.#claims.delete(name);
			}
		}
	}

	/** The claim to be made next. */
	next(): ScheduleClaim | undefined {
		for (const schedule of this.#schedules) {
			const claim = this.#claims.get(schedule.name);
			if (claim) {
				return {schedule, claim};
			}
		}

		return undefined;
	}

	/** Takes the table's answer to a claim; a claim without a result stays and is made again. */
	onAnswer({schedule, claim}: ScheduleClaim, answer: TableAnswer): void {
		claim.onAnswer(answer);
		if (claim.result === undefined) {
			return;
		}

		this.#settled.add(claim.key);
		if (this.#claims.get(schedule.name) === claim) {
			this.#claims.delete(schedule.name);
		}

		if (claim.result === 'won') {
			this.#options.fire(schedule, claim.key);
		}
	}

	/** Keys of the claims that are not settled. */
	dump(): unknown {
		return [...this.#claims.values()].map((claim) => claim.key);
	}
}
