import {StatsD} from 'hot-shots';
import {toDisposable, type Disposable} from '../../base/index.js';

/** Maximum number of series (a name with its tags) of each kind kept for the state dump; samples of further ones are counted in `metric_series_dropped`. */
const maxSeries = 4096;

/** Maximum payload of a StatsD packet, in bytes; fits an Ethernet frame. */
const maxPacketBytes = 1400;

/** Maximum time that a sample is buffered to fill a packet, in milliseconds. */
const flushIntervalMs = 1000;

/** Dimensions of a sample. */
export type Tags = Readonly<Record<string, string>>;

export type MetricsOptions = {
	/** StatsD server that receives samples over UDP; when absent, they appear only in the state dump. */
	readonly server?: {readonly host: string; readonly port: number};
	/** Prefix of each name that is sent. */
	readonly prefix: string;
	/** Tags of every sample that is sent. */
	readonly tags: Tags;
};

type Timing = {count: number; sumMs: number; maxMs: number};

/** Counters, gauges and timings of a process: kept in memory for the state dump and sent as StatsD when a server is set. */
export class Metrics implements Disposable {
	readonly #counters = new Map<string, number>();
	readonly #gauges = new Map<string, number>();
	readonly #timings = new Map<string, Timing>();
	readonly #statsd: StatsD | undefined;
	readonly #close: Disposable;

	constructor(options: MetricsOptions) {
		this.#statsd = options.server
			? new StatsD({
					...options.server,
					prefix: options.prefix,
					globalTags: {...options.tags},
					// Environment variables must not add tags or change the address.
					includeDataDogTags: false,
					originDetection: false,
					maxBufferSize: maxPacketBytes,
					bufferFlushInterval: flushIntervalMs,
					errorHandler: () => {
						this.#add('metrics_send_failures', 1);
					},
				})
			: undefined;
		this.#close = toDisposable(() => {
			this.#statsd?.close(() => undefined);
		});
	}

	/** Adds to a counter. */
	count(name: string, value: number, tags: Tags = {}): void {
		this.#add(seriesKey(name, tags), value);
		this.#statsd?.increment(name, value, tags);
	}

	/** Sets the current value of a quantity. */
	gauge(name: string, value: number, tags: Tags = {}): void {
		const series = seriesKey(name, tags);
		if (this.#hasCapacity(this.#gauges, series)) {
			this.#gauges.set(series, value);
		}

		this.#statsd?.gauge(name, value, tags);
	}

	/** Adds one sample of a duration, in milliseconds. */
	timing(name: string, ms: number, tags: Tags = {}): void {
		const series = seriesKey(name, tags);
		const timing = this.#timings.get(series);
		if (timing) {
			timing.count++;
			timing.sumMs += ms;
			timing.maxMs = Math.max(timing.maxMs, ms);
		} else if (this.#hasCapacity(this.#timings, series)) {
			this.#timings.set(series, {count: 1, sumMs: ms, maxMs: ms});
		}

		this.#statsd?.histogram(name, ms, tags);
	}

	dump(): unknown {
		return {
			counters: Object.fromEntries(this.#counters),
			gauges: Object.fromEntries(this.#gauges),
			timings: Object.fromEntries(this.#timings),
		};
	}

	dispose(): void {
		this.#close.dispose();
	}

	#add(series: string, value: number): void {
		if (this.#hasCapacity(this.#counters, series)) {
			this.#counters.set(series, (this.#counters.get(series) ?? 0) + value);
		}
	}

	/** Whether the map can take a sample of the series; counts the sample as dropped if not. */
	#hasCapacity(map: ReadonlyMap<string, unknown>, series: string): boolean {
		if (map.has(series) || map.size < maxSeries) {
			return true;
		}

		const dropped = 'metric_series_dropped';
		this.#counters.set(dropped, (this.#counters.get(dropped) ?? 0) + 1);
		return false;
	}
}

function seriesKey(name: string, tags: Tags): string {
	let series = name;
	for (const [key, value] of Object.entries(tags)) {
		series += ` ${key}=${value}`;
	}

	return series;
}
