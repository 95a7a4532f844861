import type {Clocks} from '../gateway/confirmation.js';

/** Number of readings of each gateway's clock that are kept. A delay makes a clock seem late, so the latest-looking reading is the best. */
const keptReadings = 3;

/** Age above which a reading is not used, in milliseconds: a gateway that runs sends one every 5 s. */
const maxAgeMs = 20_000;

/** Change of the time of day against the monotonic clock that is a step of the one or a suspension, in milliseconds. */
const stepThresholdMs = 200;

type Reading = {readonly offsetMs: number; readonly at: number};

/** Corrects this machine's time of day by the median offset of the clocks of the gateways that it hears, as any single clock may be off by seconds. */
export class ClockOffset {
	readonly #readings = new Map<string, readonly Reading[]>();
	#offsetMs = 0;
	#computedAt = Number.NEGATIVE_INFINITY;
	#wallAheadMs: number | undefined;
	#steppedAt: number | undefined;

	/** Time of day was stepped or the machine suspended, and no clock has been read since: the offset may be wrong. */
	get isUncertain(): boolean {
		return this.#steppedAt !== undefined && this.#readings.size > 0;
	}

	/** Handles a reading of another gateway's time of day. */
	hear(gateway: string, wallMs: number, now: Clocks): void {
		this.#notice(now);
		if (this.#steppedAt !== undefined) {
			// Offsets from before a step no longer hold.
			this.#readings.clear();
			this.#steppedAt = undefined;
		}

		const reading = {offsetMs: wallMs - now.wallMs, at: now.monotonicMs};
		this.#readings.set(
			gateway,
			[...(this.#readings.get(gateway) ?? []), reading].slice(-keptReadings),
		);
		this.#computedAt = Number.NEGATIVE_INFINITY;
	}

	/** True time in milliseconds since 1970, as far as the gateways agree on it. */
	trueMs(now: Clocks): number {
		this.#notice(now);
		return now.wallMs + this.#currentOffsetMs(now.monotonicMs);
	}

	#currentOffsetMs(now: number): number {
		if (now - this.#computedAt < maxAgeMs / 10) {
			return this.#offsetMs;
		}

		this.#computedAt = now;
		const offsets = [0];
		for (const [gateway, readings] of this.#readings) {
			const recent = readings.filter(({at}) => now - at <= maxAgeMs);
			if (recent.length === 0) {
				this.#readings.delete(gateway);
			} else {
				offsets.push(Math.max(...recent.map(({offsetMs}) => offsetMs)));
			}
		}

		this.#offsetMs = median(offsets);
		return this.#offsetMs;
	}

	#notice({monotonicMs, wallMs}: Clocks): void {
		const aheadMs = wallMs - monotonicMs;
		const isStep =
			this.#wallAheadMs !== undefined &&
			Math.abs(aheadMs - this.#wallAheadMs) > stepThresholdMs;
		if (isStep) {
			this.#steppedAt = monotonicMs;
		}

		if (isStep || this.#wallAheadMs === undefined) {
			this.#wallAheadMs = aheadMs;
		}
	}
}

/** Median; the mean of the middle two of an even number, so that two gateways agree on one time. */
function median(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	const middle = sorted.length / 2;
	return (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle) - 1]!) / 2;
}
