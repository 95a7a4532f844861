import type {Outcome, Profile} from '../../interfaces/index.js';
import type {Metrics} from '../metrics/index.js';
import {monotonicNow} from '../state-machine.js';

/** Measures the latency of one answer as its caller sees it; reported to the metrics at the end. */
export class AnswerTimes {
	readonly #startedAt = monotonicNow();
	#firstChunkAt: number | undefined;
	#lastChunkAt = 0;
	#longestGapMs = 0;
	#chunks = 0;
	#endpoint = 'none';

	/** Records the arrival of a chunk; `eventId` starts with the endpoint's name. */
	chunk(eventId: string): void {
		const now = monotonicNow();
		if (this.#firstChunkAt === undefined) {
			this.#firstChunkAt = now;
			this.#endpoint = eventId.split('/', 1)[0]!;
		} else {
			this.#longestGapMs = Math.max(
				this.#longestGapMs,
				now - this.#lastChunkAt,
			);
		}

		this.#lastChunkAt = now;
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
		if (this.#firstChunkAt !== undefined) {
			metrics.timing('first_token', this.#firstChunkAt - this.#startedAt, tags);
			metrics.count('chunks', this.#chunks, tags);
		}

		if (this.#chunks > 1) {
			const span = this.#lastChunkAt - this.#firstChunkAt!;
			metrics.timing('mean_gap', span / (this.#chunks - 1), tags);
			metrics.timing('longest_gap', this.#longestGapMs, tags);
		}
	}
}
