import type {EngineReport} from '../../interfaces/index.js';

/** Age of what an engine says about its memory, in milliseconds. */
const reportLagMs = 300;

/** Age above which a report says nothing any more, in milliseconds. */
const staleMs = 2000;

/** Part of the memory up to which prompts of the highest tier are accepted, and how much less each lower rank gets: answers in progress grow, and an engine without memory preempts them. */
const acceptedPart = 0.9;
const rankStep = 0.08;
const leastPart = 0.7;

type Grant = {readonly tokens: number; readonly at: number};

/** Memory of one engine, from its reports and what it was given since. Answers load of long prompts with long answers, which fill the memory before the slots. */
export class EngineMemory {
	#report: {readonly report: EngineReport; readonly at: number} | undefined;
	#grants: Grant[] = [];

	/** Notes what the engine says of itself. */
	report(report: EngineReport, now: number): void {
		this.#report = {report, at: now};
		this.#grants = this.#grants.filter(({at}) => at > now - reportLagMs);
	}

	/** Counts a request that the engine is given. */
	grant(tokens: number, now: number): void {
		this.#grants = this.#grants.filter(({at}) => at > now - staleMs);
		this.#grants.push({tokens, at: now});
	}

	/** Whether a request fits, as far as is known. */
	fits(tokens: number, rank: number, now: number): boolean {
		if (!this.#report || now - this.#report.at > staleMs) {
			return true;
		}

		const {usedTokens, totalTokens} = this.#report.report;
		const granted = this.#grants.reduce((sum, grant) => sum + grant.tokens, 0);
		const part = Math.max(leastPart, acceptedPart - rankStep * rank);
		return usedTokens + granted + tokens <= totalTokens * part;
	}
}
