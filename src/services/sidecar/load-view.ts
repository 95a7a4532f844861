import type {LoadReport} from '../../interfaces/index.js';

/** Load of the endpoint that is not caused by the calls that this sidecar has in flight. */
export class LoadView {
	#report: LoadReport | undefined;
	#otherRunning = 0;
	#peak = 0;
	#previousPeak = 0;

	/** Tokens that fit the KV cache; unlimited until the first report. */
	get kvCapacity(): number {
		return this.#report && this.#report.kvCapacity > 0
			? this.#report.kvCapacity
			: Infinity;
	}

	/** Calls at the endpoint that this process did not start, such as those from before its restart. */
	get otherRunning(): number {
		return this.#otherRunning;
	}

	/** Tokens in the KV cache of those calls. */
	get otherKvTokens(): number {
		const {running = 0, kvTokens = 0} = this.#report ?? {};
		return running > 0 ? (kvTokens * this.#otherRunning) / running : 0;
	}

	onOwnRunning(running: number): void {
		this.#peak = Math.max(this.#peak, running);
	}

	/**
	 * A report lags, so it is compared with the peak of own calls in flight since
	 * the report before the last one.
	 */
	onReport(report: LoadReport, running: number): void {
		const own = Math.max(this.#peak, this.#previousPeak, running);
		this.#otherRunning = Math.max(0, report.running + report.waiting - own);
		this.#report = report;
		this.#previousPeak = this.#peak;
		this.#peak = running;
	}

	dump(): unknown {
		return {report: this.#report, otherRunning: this.#otherRunning};
	}
}
