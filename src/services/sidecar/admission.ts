import type {AttemptStart, Profile, Refusal} from '../../interfaces/index.js';

/** Refuses work that the sidecar cannot run, such as that of another target or while leaving, before the scheduler sees it. */
export class Admission {
	readonly #incarnation: string;
	#targets = new Set<string>();
	#isLeaving = false;

	constructor(incarnation: string) {
		this.#incarnation = incarnation;
	}

	get isLeaving(): boolean {
		return this.#isLeaving;
	}

	get targets(): string[] {
		return [...this.#targets];
	}

	setTargets(targets: readonly string[]): void {
		this.#targets = new Set(targets);
	}

	leave(): void {
		this.#isLeaving = true;
	}

	refusal(profile: Profile): Refusal | undefined {
		if (this.#isLeaving) {
			return {reason: 'leaving', retryAfterMs: 0};
		}

		return this.#targets.has(profile.target)
			? undefined
			: {reason: 'not_eligible', retryAfterMs: 0};
	}

	refusalOfStart(start: AttemptStart): Refusal | undefined {
		if (start.incarnation !== this.#incarnation) {
			return {reason: 'wrong_incarnation', retryAfterMs: 0};
		}

		return start.remainingMs > 0
			? this.refusal(start.profile)
			: {reason: 'deadline', retryAfterMs: 0};
	}
}
