/** Tokens that each success adds; a retry or hedge costs one. */
const earnedPerSuccess = 0.1;

/** Capacity and initial fill, in tokens, of the bucket of a workspace and of the overall one: enough for the streams that one entry has at a crashed endpoint. */
const workspaceLimit = 100;
const overallLimit = 400;

/** Maximum number of workspaces tracked; the least recently used one is evicted first. */
const maxWorkspaces = 10_000;

/** Token buckets that limit retries and hedges to a tenth of the successes, beyond the initial fill, for each workspace and overall. */
export class RetryBudget {
	#overall = overallLimit;
	/** Tokens by workspace, least recently used first. */
	readonly #workspaces = new Map<string, number>();

	recordSuccess(workspace: string): void {
		this.#overall = Math.min(overallLimit, this.#overall + earnedPerSuccess);
		this.#setTokens(
			workspace,
			Math.min(workspaceLimit, this.#tokensOf(workspace) + earnedPerSuccess),
		);
	}

	/** Takes one token from both buckets, or returns false and takes none when either has less than one. */
	trySpend(workspace: string): boolean {
		const left = this.#tokensOf(workspace);
		if (left < 1 || this.#overall < 1) {
			return false;
		}

		this.#overall--;
		this.#setTokens(workspace, left - 1);
		return true;
	}

	#tokensOf(workspace: string): number {
		return this.#workspaces.get(workspace) ?? workspaceLimit;
	}

	#setTokens(workspace: string, tokens: number): void {
		this.#workspaces.delete(workspace);
		this.#workspaces.set(workspace, tokens);
		if (this.#workspaces.size > maxWorkspaces) {
			const [oldest] = this.#workspaces.keys();
			this.#workspaces.delete(oldest!);
		}
	}
}
