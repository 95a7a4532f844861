/** Prompt tokens that a batching engine prefills in a millisecond while it generates nothing: published figures for the engines in use are 48 to 65. */
const idlePrefillTokensPerMs = 50;

/** Minimum fraction of an engine's prefill rate at which it gets prompts. */
const minPrefillFraction = 0.4;

/** Prefill rate in tokens per millisecond while nothing is known about the answers. */
const defaultTokensPerMs = 40;

/**
 * Rate at which an engine may get prompts, in tokens per millisecond, so that
 * its running answers get a token every `tokenMs`. Each chunk of a prompt that
 * is prefilled between two tokens delays all of them, so an engine that
 * prefills all the time generates several times more slowly.
 */
export function prefillRate(
	tokenMs: number | undefined,
	stepMs: number,
): number {
	if (tokenMs === undefined) {
		return defaultTokensPerMs;
	}

	const fraction = Math.max(minPrefillFraction, 1 - stepMs / tokenMs);
	return Math.min(defaultTokensPerMs, idlePrefillTokensPerMs * fraction);
}

/** Time until an engine has prefilled its prompts at one rate. */
class PrefillDuration {
	#endsAt = Number.NEGATIVE_INFINITY;

	add(ms: number, now: number): void {
		this.#endsAt = Math.max(this.#endsAt, now) + ms;
	}

	set(ms: number, now: number): void {
		this.#endsAt = now + ms;
	}

	leftMs(now: number): number {
		return Math.max(0, this.#endsAt - now);
	}
}

/** Measured speed of an engine, and the speed that its answers need. */
export type EnginePace = {
	/** Time within which its answers need each token, in milliseconds; undefined when nothing is known about them. */
	readonly tokenMs: number | undefined;
	/** Duration of a step without prefill, in milliseconds. */
	readonly stepMs: number;
	/** Factor by which prompts take longer to prefill than on a usual engine. */
	readonly slowness: number;
};

/** Prefill backlog of an engine: the time to prefill the prompts that it was sent. */
export type Backlog = {
	/** At the engine's own prefill rate, in milliseconds. */
	readonly leftMs: number;
	/** At the rate that its running answers allow, in milliseconds. */
	readonly pacedMs: number;
};

/**
 * Estimates the prefill backlog of an engine from the prompts that it was sent.
 * Needed when long prompts arrive: the estimate shows at once when the engine
 * can take the next one, before any report or answer does.
 */
export class PrefillEstimate {
	readonly #actual = new PrefillDuration();
	readonly #paced = new PrefillDuration();

	/** Adds a prompt that the engine prefills while it generates its answers. */
	add(tokens: number, engine: EnginePace, now: number): void {
		const effectiveTokens = tokens * engine.slowness;
		const rate = prefillRate(engine.tokenMs, engine.stepMs);
		this.#actual.add(effectiveTokens / defaultTokensPerMs, now);
		this.#paced.add(effectiveTokens / rate, now);
	}

	/** Replaces the estimate by that of the gateway that owns the engine. */
	overwrite({leftMs, pacedMs}: Backlog, now: number): void {
		this.#actual.set(leftMs, now);
		this.#paced.set(pacedMs, now);
	}

	backlog(now: number): Backlog {
		return {
			leftMs: this.#actual.leftMs(now),
			pacedMs: this.#paced.leftMs(now),
		};
	}
}
