import {request} from 'undici';
import {z} from 'zod';
import {DisposableStore} from '../../base/index.js';
import {Fleet, type FleetProcess} from '../fleet/index.js';
import {startChild} from './child.js';
import {drive, type Load, type LoadResult} from './load.js';

export type BenchOptions = {
	/** Callers, each with one streamed answer after the other. */
	readonly streams: number;
	/** Tokens of each answer. */
	readonly tokens: number;
	/** Duration of each of the three phases, in seconds. */
	readonly seconds: number;
	/** The engine's first-token time and gap, in milliseconds. */
	readonly firstTokenMs: number;
	readonly gapMs: number;
};

/** Times in milliseconds. */
type Quantiles = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};

/** Processor time and memory that one role used in a phase. */
export type RoleUse = {
	readonly role: string;
	readonly cpuSeconds: number;
	/** Streamed tokens for each second of processor time. */
	readonly tokensPerCoreSecond: number;
	readonly answersPerCoreSecond: number;
	readonly rssMebibytes: number;
};

/** One way from the callers to the engine. */
export type PhaseResult = {
	readonly path: 'direct' | 'pass-through' | 'router';
	readonly firstTokenMs: Quantiles;
	readonly gapMs: Quantiles;
	readonly answersPerSecond: number;
	readonly tokensPerSecond: number;
	/** Answers that were not whole. */
	readonly failures: number;
	readonly roles: readonly RoleUse[];
};

/** Use of a process up to now. */
type Usage = {readonly cpuMicros: number; readonly rssBytes: number};
type Meter = {readonly role: string; readonly read: () => Promise<Usage>};

const usageSchema = z.object({cpuMicros: z.number(), rssBytes: z.number()});
const dumpSchema = z.object({
	process: z.object({
		cpuUserMicros: z.number(),
		cpuSystemMicros: z.number(),
		rssBytes: z.number(),
	}),
});

/** Time in which the code is compiled; 2 s left the first-token times of cold code in the result. */
const warmUpSeconds = 5;

/** Measures the same load directly at the engine, through a bare pass-through and through one entry and one sidecar. */
export async function runBench(options: BenchOptions): Promise<PhaseResult[]> {
	const store = new DisposableStore();
	const engine = store.add(
		await startChild('engine-process', [
			String(options.firstTokenMs),
			String(options.gapMs),
		]),
	);
	const passThrough = store.add(
		await startChild('pass-through-process', [engine.url]),
	);
	const fleet = new Fleet({
		deployment: 'gebeya',
		entries: 1,
		engines: 1,
		services: 0,
		engineUrl: engine.url,
	});
	try {
		await fleet.start();
		const [entry] = fleet.entries;
		const [sidecar] = fleet.sidecars.values();
		const load: Load = {
			streams: options.streams,
			tokens: options.tokens,
			// As long as an answer takes, so that half of the callers have one in progress.
			thinkMs: options.firstTokenMs + options.tokens * options.gapMs,
			seconds: options.seconds,
			model: fleet.model,
			headers: {
				authorization: 'Bearer sk-demo-reminders',
				'x-cicadaswitch-class': 'letter',
			},
		};
		return [
			await runPhase('direct', engine.url, load, []),
			await runPhase('pass-through', passThrough.url, load, [
				{role: 'pass-through', read: async () => readUsage(passThrough.url)},
			]),
			await runPhase('router', `http://${entry!.address}`, load, [
				{role: 'entry', read: async () => readDump(fleet, entry!)},
				{role: 'sidecar', read: async () => readDump(fleet, sidecar!)},
			]),
		];
	} finally {
		await fleet.dispose();
		store.dispose();
	}
}

async function runPhase(
	path: PhaseResult['path'],
	url: string,
	load: Load,
	meters: readonly Meter[],
): Promise<PhaseResult> {
	await drive(url, {...load, seconds: warmUpSeconds});
	const before = await Promise.all(meters.map(async ({read}) => read()));
	const result = await drive(url, load);
	if (result.answers === 0) {
		throw new Error(`${path}: no whole answer: ${result.lastError}`);
	}

	const after = await Promise.all(meters.map(async ({read}) => read()));
	return {
		path,
		firstTokenMs: quantiles(result.firstToken),
		gapMs: quantiles(result.gap),
		answersPerSecond: result.answers / result.seconds,
		tokensPerSecond: result.tokens / result.seconds,
		failures: result.failures,
		roles: meters.map(({role}, index) => {
			const micros = after[index]!.cpuMicros - before[index]!.cpuMicros;
			const cpuSeconds = micros / 1_000_000;
			return {
				role,
				cpuSeconds,
				tokensPerCoreSecond: result.tokens / cpuSeconds,
				answersPerCoreSecond: result.answers / cpuSeconds,
				rssMebibytes: after[index]!.rssBytes / 1024 / 1024,
			};
		}),
	};
}

function quantiles(histogram: LoadResult['gap']): Quantiles {
	const at = (percentile: number) =>
		histogram.getValueAtPercentile(percentile) / 1000;
	return {p50: at(50), p95: at(95), p99: at(99)};
}

async function readUsage(url: string): Promise<Usage> {
	const answer = await request(`${url}/usage`);
	return usageSchema.parse(await answer.body.json());
}

async function readDump(fleet: Fleet, target: FleetProcess): Promise<Usage> {
	const dump = dumpSchema.parse(await fleet.dump(target));
	const {cpuUserMicros, cpuSystemMicros, rssBytes} = dump.process;
	return {cpuMicros: cpuUserMicros + cpuSystemMicros, rssBytes};
}
