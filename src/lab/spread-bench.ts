import {Random} from '../base/index.js';
import {SpreadFleet} from './spread-fleet.js';
import {spreadPolicies} from './spread-policies.js';

export const spreadScenarios = [
	'clean',
	'10% loss',
	'table outage',
	'partition',
] as const;
export type SpreadScenario = (typeof spreadScenarios)[number];
export type SpreadStrategy = keyof typeof spreadPolicies;

/** How fast and at what cost changes spread through one fleet. */
export type SpreadRow = {
	readonly members: number;
	readonly strategy: SpreadStrategy;
	readonly scenario: SpreadScenario;
	readonly changes: number;
	/** Pairs of a change and a process that had not applied it at the end. */
	readonly missing: number;
	/** Time from the commit of a change until a process applied it, in milliseconds, over all changes and processes; for a process behind a partition, from its end. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly worstMs: number;
	/** Messages and bytes that a process sends per second: mean, and bytes of the busiest process. */
	readonly messagesPerSecond: number;
	readonly bytesPerSecond: number;
	readonly worstBytesPerSecond: number;
	/** Table reads of the whole fleet per second: mean and highest. */
	readonly readsPerSecond: number;
	readonly readsPeak: number;
};

/** How a fleet recovers when a fraction of its processes restarts without state. */
export type RestartRow = {
	readonly members: number;
	readonly records: number;
	/** Fraction of the processes that restart at the same time, 0 to 1. */
	readonly part: number;
	readonly tableDown: boolean;
	/** Restarted processes that had not loaded the records within a minute. */
	readonly missing: number;
	/** Time from the start of a process until it has loaded the records, in milliseconds. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly worstMs: number;
	/** Bytes sent by a process in the minute after the restart: mean and of the busiest. */
	readonly bytes: number;
	readonly worstBytes: number;
	/** Table reads of the whole fleet per second: mean before the restart, and highest after it. */
	readonly readsAtRest: number;
	readonly readsPeak: number;
};

export type SpreadBenchOptions = {
	readonly members: number;
	readonly seed: number;
	/** Records in the table before the measurement. */
	readonly records?: number;
};

/** Default number of records; the 11,200 of the design scale do not fit in one heap for 5,800 processes. */
const defaultRecords = 50;
/** Time for the fleet to start, in milliseconds. */
const warmUpMs = 30_000;
/** Changes in one measurement. */
const changeCount = 6;
/** Time between changes, in milliseconds. */
const changeIntervalMs = 5000;
/** Time between the commit of a change and the outage of the table, in milliseconds. */
const outageAfterMs = 200;
/** Length of a partition, from before the first change to after the last, in milliseconds. */
const partitionMs = changeCount * changeIntervalMs;
/** Time after the last change for late processes to apply it, in milliseconds. */
const settleMs = 30_000;

/** Value at a quantile of sorted samples; NaN without samples. */
function quantile(sorted: readonly number[], fraction: number): number {
	const index = Math.ceil(fraction * sorted.length) - 1;
	return sorted[Math.max(0, index)] ?? Number.NaN;
}

function summarizeDelays(samples: readonly number[]) {
	const sorted = samples.toSorted((a, b) => a - b);
	return {
		p50Ms: quantile(sorted, 0.5),
		p99Ms: quantile(sorted, 0.99),
		worstMs: quantile(sorted, 1),
	};
}

function readsBetween(fleet: SpreadFleet, from: number, to: number): number[] {
	const seconds = [];
	for (let second = from / 1000; second < to / 1000; second++) {
		seconds.push(fleet.reads[second] ?? 0);
	}

	return seconds;
}

function mean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Whether a process is in the region that the partition separates from the others and from the table. */
function isCutOff(index: number): boolean {
	return index % 3 === 2;
}

/** Commits changes in virtual time and measures the delay, messages, bytes and table reads until the fleet applied them. */
export function measureSpread(
	options: SpreadBenchOptions & {
		readonly strategy: SpreadStrategy;
		readonly scenario: SpreadScenario;
	},
): SpreadRow {
	const {members, seed, strategy, scenario} = options;
	const {records = defaultRecords} = options;
	const acceptedAt = new Map<number, number>();
	const revisions = Array.from({length: members}, () => 0);
	const delays: number[] = [];
	let partitionEnd = 0;
	const fleet: SpreadFleet = new SpreadFleet({
		members,
		seed,
		policy: spreadPolicies[strategy],
		onDidChangeRecords(process, effect) {
			const revision =
				effect.type === 'apply' ? effect.entry.revision : effect.revision;
			for (let next = revisions[process]! + 1; next <= revision; next++) {
				const accepted = acceptedAt.get(next);
				if (accepted !== undefined) {
					const from = isCutOff(process)
						? Math.max(accepted, partitionEnd)
						: accepted;
					delays.push(Math.max(0, fleet.now - from));
				}
			}

			revisions[process] = revision;
		},
	});
	for (let n = 0; n < records; n++) {
		fleet.accept(`class-${n}`);
	}

	fleet.startAll();
	fleet.runUntil(warmUpMs);
	fleet.resetCounters();
	fleet.loss = scenario === '10% loss' ? 0.1 : 0;
	if (scenario === 'partition') {
		partitionEnd = warmUpMs + partitionMs;
		fleet.cut = (from, to) =>
			fleet.now < partitionEnd &&
			isCutOff(from) !== (to !== undefined && isCutOff(to));
	}

	for (let n = 0; n < changeCount; n++) {
		fleet.isTableDown = false;
		acceptedAt.set(fleet.accept(`class-${n}`), fleet.now);
		const next = warmUpMs + (n + 1) * changeIntervalMs;
		if (scenario === 'table outage') {
			fleet.runUntil(fleet.now + outageAfterMs);
			fleet.isTableDown = true;
		}

		fleet.runUntil(next);
	}

	const end = warmUpMs + changeCount * changeIntervalMs;
	const seconds = (end - warmUpMs) / 1000;
	const {messages, bytes, worstBytes} = fleet.counters();
	const reads = readsBetween(fleet, warmUpMs, end);
	fleet.isTableDown = false;
	fleet.runUntil(end + settleMs);
	return {
		members,
		strategy,
		scenario,
		changes: changeCount,
		missing: changeCount * members - delays.length,
		...summarizeDelays(delays),
		messagesPerSecond: messages / seconds / members,
		bytesPerSecond: bytes / seconds / members,
		worstBytesPerSecond: worstBytes / seconds,
		readsPerSecond: mean(reads),
		readsPeak: Math.max(...reads),
	};
}

/** Restarts a fraction of a fleet at the same time and measures the table reads and the time until all have loaded the records. */
export function measureRestart(
	options: SpreadBenchOptions & {
		readonly part: number;
		readonly tableDown?: boolean;
	},
): RestartRow {
	const {members, seed, part, tableDown = false} = options;
	const {records = defaultRecords} = options;
	const fleet = new SpreadFleet({members, seed});
	for (let n = 0; n < records; n++) {
		fleet.accept(`class-${n}`);
	}

	fleet.startAll();
	fleet.runUntil(warmUpMs);
	const restartAt = 2 * warmUpMs;
	fleet.runUntil(restartAt);
	fleet.isTableDown = tableDown;
	fleet.resetCounters();
	const count = Math.max(1, Math.round(part * members));
	const allIndexes = Array.from({length: members}, (_, n) => String(n));
	const restarted = new Random(seed).sample(allIndexes, count).map(Number);
	for (const index of restarted) {
		fleet.start(index);
	}

	fleet.runUntil(2 * restartAt);
	const {bytes, worstBytes} = fleet.counters();
	const times = restarted
		.map((index) => fleet.readyAt(index))
		.filter((time) => time !== undefined)
		.map((time) => time - restartAt);
	return {
		members,
		records,
		part,
		tableDown,
		missing: count - times.length,
		...summarizeDelays(times),
		bytes: bytes / members,
		worstBytes,
		readsAtRest: mean(readsBetween(fleet, warmUpMs, restartAt)),
		readsPeak: Math.max(...readsBetween(fleet, restartAt, 2 * restartAt)),
	};
}
