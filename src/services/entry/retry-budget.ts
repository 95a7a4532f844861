/** Retries and hedges earned by each success. */
const earnedPerSuccess = 0.1;

/** Retries that a workspace, and all together, may save up and start with: enough for the streams that one entry has at a crashed endpoint. */
const workspaceLimit = 100;
const overallLimit = 400;

/** Workspaces remembered at most; the one that has been quiet longest is forgotten first. */
const maxWorkspaces = 10_000;

/** Token bucket for retries and hedges: they are at most a tenth of the successes, for each workspace and overall. */
export class RetryBudget {
	#overall = overallLimit;
	/** In order of last use. */
	readonly #workspaces = new Map<string, number>();

	succeeded(workspace: string): void {
		this.#overall = Math.min(overallLimit, this.#overall + earnedPerSuccess);
		this.#set(
			workspace,
			Math.min(workspaceLimit, this.#get(workspace) + earnedPerSuccess),
		);
	}

	/** Takes one token from both buckets, or none when either is empty. */
	spend(workspace: string): boolean {
		const left = this.#get(workspace);
		if (left < 1 || this.#overall < 1) {
			return false;
		}

		this.#overall--;
		this.#set(workspace, left - 1);
		return true;
	}

	#get(workspace: string): number {
		return this.#workspaces.get(workspace) ?? workspaceLimit;
	}

	#set(workspace: string, tokens: number): void {
		this.#workspaces.delete(workspace);
		this.#workspaces.set(workspace, tokens);
		if (this.#workspaces.size > maxWorkspaces) {
			const [oldest] = this.#workspaces.keys();
			this.#workspaces.delete(oldest!);
		}
	}
}
