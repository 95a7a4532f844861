import type {CloudApi, CloudCallResult} from '../../interfaces/index.js';
import {UsageReports, type UsageCounts} from '../../services/duties/index.js';
import {readClocks} from '../gateway/clocks.js';
import type {Log} from '../log.js';
import type {DutyCall, DutyWork, Takeover} from './duty-work.js';

/** What happened to reports, for the metrics. */
export type ReportResult =
	'accepted' | 'repeated' | 'late' | 'refused' | 'failed' | 'missed';

export type UsageWorkOptions = {
	readonly api: CloudApi;
	readonly counts: UsageCounts;
	/** Current true time, in milliseconds since 1970. */
	readonly trueMs: () => number;
	/** Whether the true time may be wrong by more than usual; no window is settled meanwhile. */
	readonly isTimeUncertain: () => boolean;
	/** Time after the end of a window at which its report is late, in milliseconds. */
	readonly dueMs: number;
	readonly log: Log;
	readonly onDidReport: (result: ReportResult, windows: number) => void;
};

/** Reports the usage of all gateways to the platform. */
export class UsageWork implements DutyWork {
	readonly #options: UsageWorkOptions;
	readonly #reports: UsageReports;
	#lastAccepted: number | undefined;

	constructor(options: UsageWorkOptions) {
		this.#options = options;
		const startedAt = readClocks().monotonicMs;
		this.#reports = new UsageReports(
			options.counts,
			() => options.trueMs() - (readClocks().monotonicMs - startedAt),
		);
	}

	get duty(): string {
		return 'usage';
	}

	isNeeded(): boolean {
		return true;
	}

	initialState(takeover: Takeover): unknown {
		return this.#reports.initialState(takeover, this.#options.trueMs());
	}

	adopt(state: unknown, takeover: Takeover): void {
		const {skipped} = this.#reports.adopt(
			state,
			takeover,
			this.#options.trueMs(),
		);
		this.#miss(skipped, 'the store was restored');
	}

	acknowledge(state: unknown): void {
		this.#reports.acknowledge(state);
	}

	hasNews(): boolean {
		const {trueMs, isTimeUncertain} = this.#options;
		return !isTimeUncertain() && this.#reports.canSettle(trueMs());
	}

	compose(): unknown {
		const {trueMs, isTimeUncertain} = this.#options;
		const {state, givenUp} = this.#reports.compose(
			isTimeUncertain() ? Number.NEGATIVE_INFINITY : trueMs(),
		);
		this.#miss(givenUp, 'the platform accepts no reports');
		return state;
	}

	dueCall(): DutyCall | undefined {
		const report = this.#reports.due(readClocks().monotonicMs);
		return (
			report && {
				send: async (right, guard) =>
					this.#options.api.reportUsage(
						{window: report.window, counts: report.counts},
						right,
						guard,
					),
				ended: (result) => {
					this.#ended(report.window, report.attempt, result);
				},
			}
		);
	}

	dump(): Readonly<Record<string, unknown>> {
		return {
			unsentWindows: this.#reports.unsentCount,
			nextWindow: this.#reports.next,
			lastAcceptedWindow: this.#lastAccepted,
		};
	}

	#ended(window: number, attempt: number, result: CloudCallResult): void {
		const {log, onDidReport, counts, trueMs, dueMs} = this.#options;
		const now = readClocks().monotonicMs;
		if (attempt > 1) {
			onDidReport('repeated', 1);
		}

		switch (result.type) {
			case 'accepted': {
				const afterMs = Math.round(trueMs() - counts.endOf(window));
				this.#reports.accepted(window);
				this.#lastAccepted = window;
				onDidReport('accepted', 1);
				if (afterMs > dueMs) {
					onDidReport('late', 1);
				}

				log.info('usage_reported', {window, attempt, after_ms: afterMs});
				break;
			}

			case 'refused': {
				const {status, retryAfterMs} = result;
				this.#reports.failed(window, now, retryAfterMs);
				onDidReport('refused', 1);
				log.warn('usage_refused', {window, attempt, status});
				break;
			}

			case 'failed': {
				this.#reports.failed(window, now);
				onDidReport('failed', 1);
				log.warn('usage_failed', {window, attempt, reason: result.reason});
				break;
			}

			case 'not sent': {
				break;
			}
		}
	}

	#miss(windows: number, reason: string): void {
		if (windows > 0) {
			this.#options.onDidReport('missed', windows);
			this.#options.log.warn('usage_missed', {windows, reason});
		}
	}
}
