import type {Outcome, Profile} from '../../interfaces/index.js';
import type {Metrics} from '../metrics/index.js';
import {monotonicNow} from '../task.js';

/** Times of one answer as its caller sees them, reported once at its end. */
export class AnswerTimes {
	readonly #startedAt = monotonicNow();
	#firstAt: number | undefined;
	#lastAt = 0;
	#longestGapMs = 0;
	#chunks = 0;
	#endpoint = 'none';

	/** A part of the answer has arrived; `eventId` starts with the endpoint's name. */
	chunk(eventId: string): void {
		const now = monotonicNow();
		if (this.#firstAt === undefined) {
			this.#firstAt = now;
			this.#endpoint = eventId.split('/', 1)[0]!;
		} else {
			this.#longestGapMs = Math.max(this.#longestGapMs, now - this.#lastAt);
		}

		this.#lastAt = now;
		this.#chunks++;
	}

	report(metrics: Metrics, profile: Profile, outcome: Outcome): void {
		const tags = {
			class: profile.contract.requestClass,
			tier: String(profile.contract.tier),
			endpoint: this.#endpoint,
			outcome,
		};
		metrics.count('requests', 1, tags);
		metrics.timing('request_duration', monotonicNow() - this.#startedAt, tags);
		if (this.#firstAt !== undefined) {
			metrics.timing('first_token', this.#firstAt - this.#startedAt, tags);
			metrics.count('chunks', this.#chunks, tags);
		}

		if (this.#chunks > 1) {
			const span = this.#lastAt - this.#firstAt!;
			metrics.timing('mean_gap', span / (this.#chunks - 1), tags);
			metrics.timing('longest_gap', this.#longestGapMs, tags);
		}
	}
}
