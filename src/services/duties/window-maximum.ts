/** Parts into which a window is divided; more would follow its end more closely and take more memory. */
const windowParts = 20;

type Part = {readonly from: number; to: number; max: number};

/** Maximum of a figure over a window that ends now, in bounded memory. */
export class WindowMaximum {
	#parts: Part[] = [];
	#startedAt: number | undefined;

	add(value: number, windowMs: number, now: number): void {
		this.#startedAt ??= now;
		this.#parts = this.#parts.filter(({to}) => now - to <= windowMs);
		const last = this.#parts.at(-1);
		if (last && now - last.from < windowMs / windowParts) {
			last.to = now;
			last.max = Math.max(last.max, value);
		} else {
			this.#parts.push({from: now, to: now, max: value});
		}
	}

	clear(): void {
		this.#parts = [];
		this.#startedAt = undefined;
	}

	/** Maximum over the window; undefined while the figure has not been known for so long. */
	over(windowMs: number, now: number): number | undefined {
		return this.#startedAt !== undefined && now - this.#startedAt >= windowMs
			? Math.max(...this.#parts.map(({max}) => max))
			: undefined;
	}
}
