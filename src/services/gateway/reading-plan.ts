/** Prompt tokens that a batching engine reads in a millisecond while it generates nothing: published figures of engines in use lie between 48 and 65. */
const readingTokensPerMs = 50;

/** Least part of its reading speed that an engine is given to read. */
const leastReadingPart = 0.4;

/** Speed of reading while nothing is known of the answers, in tokens for each millisecond. */
const defaultTokensPerMs = 40;

/**
 * Speed at which an engine may be given prompts, in tokens for each
 * millisecond, so that its running answers get a token every `tokenMs`. Each
 * chunk of a prompt that is read between two tokens delays all of them, so an
 * engine that always reads generates several times slower.
 */
export function readingSpeed(
	tokenMs: number | undefined,
	stepMs: number,
): number {
	if (tokenMs === undefined) {
		return defaultTokensPerMs;
	}

	const part = Math.max(leastReadingPart, 1 - stepMs / tokenMs);
	return Math.min(defaultTokensPerMs, readingTokensPerMs * part);
}

/** Time that an engine needs for prompts at one speed. */
class Reading {
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

/** How fast an engine is, and has to be. */
export type EnginePace = {
	/** Time that its answers have for a token, in milliseconds; undefined when nothing is known of them. */
	readonly tokenMs: number | undefined;
	/** Time of a step that reads no prompt, in milliseconds. */
	readonly stepMs: number;
	/** Ratio of observed to expected times. */
	readonly slowness: number;
};

/** What an engine has still to read, in milliseconds. */
export type Backlog = {
	/** At its own speed. */
	readonly leftMs: number;
	/** At the speed that its running answers allow. */
	readonly pacedMs: number;
};

/**
 * Prompts that were given to an engine. Answers load of long prompts: it is
 * known at once when an engine may get the next one, by what it has still to
 * read and by how much of its time may go into reading.
 */
export class ReadingPlan {
	readonly #actual = new Reading();
	readonly #paced = new Reading();

	/** Counts a prompt that the engine reads beside its answers. */
	add(tokens: number, engine: EnginePace, now: number): void {
		const tokensAtSpeed = tokens * Math.max(1, engine.slowness);
		const speed = readingSpeed(engine.tokenMs, engine.stepMs);
		this.#actual.add(tokensAtSpeed / defaultTokensPerMs, now);
		this.#paced.add(tokensAtSpeed / speed, now);
	}

	/** Takes over what the gateway that keeps the engine's book says. */
	assume({leftMs, pacedMs}: Backlog, now: number): void {
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
