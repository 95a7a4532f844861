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

/** Result of spreading a few changes through one fleet. */
export type SpreadRow = {
	readonly members: number;
	readonly strategy: SpreadStrategy;
	readonly scenario: SpreadScenario;
	readonly changes: number;
	/** Pairs of change and process in which the change was not in force at the end. */
	readonly missing: number;
	/** Time from accepted to in force, over all changes and processes, in milliseconds; for a process that was cut off, from the end of the partition. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly worstMs: number;
	/** Messages and bytes that a process sends per second, on average, and of the busiest process. */
	readonly messagesPerSecond: number;
	readonly bytesPerSecond: number;
	readonly worstBytesPerSecond: number;
	/** Table reads of the whole fleet per second: mean and highest. */
	readonly readsPerSecond: number;
	readonly readsPeak: number;
};

/** Result of restarting part of a fleet with empty memory. */
export type RestartRow = {
	readonly members: number;
	readonly records: number;
	/** Part of the processes that restart at once, 0 to 1. */
	readonly part: number;
	readonly tableDown: boolean;
	/** Restarted processes that did not take part within a minute. */
	readonly missing: number;
	/** Time from the start to taking part, in milliseconds. */
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly worstMs: number;
	/** Bytes sent by a process in the minute after the restart: mean and of the busiest. */
	readonly bytes: number;
	readonly worstBytes: number;
	readonly readsAtRest: number;
	readonly readsPeak: number;
};

export type SpreadBenchOptions = {
	readonly members: number;
	readonly seed: number;
	/** Records in the table before the measurement. */
	readonly records?: number;
};

/** Default number of records; the design scale has some 11,200, which 5,800 processes in one heap do not fit. */
const defaultRecords = 50;
/** Time in which the fleet starts, in milliseconds. */
const warmUpMs = 30_000;
const changes = 6;
/** Time between changes, in milliseconds. */
const changeEveryMs = 5000;
/** Time between an accepted change and the table's outage, in milliseconds. */
const outageAfterMs = 200;
/** Length of a partition, from before the first change to after the last, in milliseconds. */
const partitionMs = changes * changeEveryMs;
const settleMs = 30_000;

/** Value at a quantile of sorted samples; NaN without samples. */
function quantile(sorted: readonly number[], part: number): number {
	const index = Math.ceil(part * sorted.length) - 1;
	return sorted[Math.max(0, index)] ?? Number.NaN;
}

function summary(samples: readonly number[]) {
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

/** Region that a partition cuts off from the others and from the table. */
function isCutOff(index: number): boolean {
	return index % 3 === 2;
}

/** Spreads changes through a fleet in virtual time and measures delay, messages, bytes and table reads. */
export function measureSpread(
	options: SpreadBenchOptions & {
		readonly strategy: SpreadStrategy;
		readonly scenario: SpreadScenario;
	},
): SpreadRow {
	const {members, seed, strategy, scenario} = options;
	const {records = defaultRecords} = options;
	const acceptedAt = new Map<number, number>();
	const reached = Array.from({length: members}, () => 0);
	const delays: number[] = [];
	let partitionEnd = 0;
	const fleet: SpreadFleet = new SpreadFleet({
		members,
		seed,
		policy: spreadPolicies[strategy],
		onForce(process, effect) {
			const revision =
				effect.type === 'apply' ? effect.entry.revision : effect.revision;
			for (let next = reached[process]! + 1; next <= revision; next++) {
				const accepted = acceptedAt.get(next);
				if (accepted !== undefined) {
					const from = isCutOff(process)
						? Math.max(accepted, partitionEnd)
						: accepted;
					delays.push(Math.max(0, fleet.now - from));
				}
			}

			reached[process] = revision;
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

	for (let n = 0; n < changes; n++) {
		fleet.tableDown = false;
		acceptedAt.set(fleet.accept(`class-${n}`), fleet.now);
		const next = warmUpMs + (n + 1) * changeEveryMs;
		if (scenario === 'table outage') {
			fleet.runUntil(fleet.now + outageAfterMs);
			fleet.tableDown = true;
		}

		fleet.runUntil(next);
	}

	const end = warmUpMs + changes * changeEveryMs;
	const seconds = (end - warmUpMs) / 1000;
	const {messages, bytes, worstBytes} = fleet.counters();
	const reads = readsBetween(fleet, warmUpMs, end);
	fleet.tableDown = false;
	fleet.runUntil(end + settleMs);
	return {
		members,
		strategy,
		scenario,
		changes,
		missing: changes * members - delays.length,
		...summary(delays),
		messagesPerSecond: messages / seconds / members,
		bytesPerSecond: bytes / seconds / members,
		worstBytesPerSecond: worstBytes / seconds,
		readsPerSecond: mean(reads),
		readsPeak: Math.max(...reads),
	};
}

/** Restarts part of a fleet at once and measures the table reads and the time until all take part again. */
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
	fleet.tableDown = tableDown;
	fleet.resetCounters();
	const count = Math.max(1, Math.round(part * members));
	const all = Array.from({length: members}, (_, n) => String(n));
	const restarted = new Random(seed).sample(all, count).map(Number);
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
		...summary(times),
		bytes: bytes / members,
		worstBytes,
		readsAtRest: mean(readsBetween(fleet, warmUpMs, restartAt)),
		readsPeak: Math.max(...readsBetween(fleet, restartAt, 2 * restartAt)),
	};
}
