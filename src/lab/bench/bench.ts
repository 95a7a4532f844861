import {request} from 'undici';
import {z} from 'zod';
import {DisposableStore} from '../../base/index.js';
import {Fleet, type FleetProcess} from '../fleet/index.js';
import {startChildServer} from './child-server.js';
import {runLoad, type Load, type LoadResult} from './load.js';

export type BenchOptions = {
	/** Number of callers; each requests one streamed answer after another. */
	readonly streams: number;
	/** Mean number of tokens of an answer. */
	readonly tokens: number;
	/** Duration of each of the three phases, in seconds. */
	readonly seconds: number;
	/** The engine's time to the first token and between tokens, in milliseconds. */
	readonly firstTokenMs: number;
	readonly gapMs: number;
};

/** Percentiles of a latency, in milliseconds. */
type Quantiles = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
};

/** Processor time and memory that a process of this role used in a phase. */
export type RoleUsage = {
	readonly role: string;
	readonly cpuSeconds: number;
	/** Streamed tokens per second of processor time. */
	readonly tokensPerCoreSecond: number;
	readonly answersPerCoreSecond: number;
	readonly rssMebibytes: number;
};

/** Measurements of one path from the callers to the engine. */
export type PhaseResult = {
	readonly path: 'direct' | 'pass-through' | 'router';
	readonly firstTokenMs: Quantiles;
	readonly gapMs: Quantiles;
	readonly answersPerSecond: number;
	readonly tokensPerSecond: number;
	/** Number of incomplete answers. */
	readonly failures: number;
	readonly roles: readonly RoleUsage[];
};

/** Processor time of a process since its start, and its present memory. */
type ResourceUsage = {readonly cpuMicros: number; readonly rssBytes: number};
type Meter = {
	readonly role: string;
	readonly read: () => Promise<ResourceUsage>;
};

const usageSchema = z.object({cpuMicros: z.number(), rssBytes: z.number()});
const dumpSchema = z.object({
	process: z.object({
		cpuUserMicros: z.number(),
		cpuSystemMicros: z.number(),
		rssBytes: z.number(),
	}),
});

/** Unmeasured load before each phase, so that the code is compiled; after 2 s, first-token times of cold code still appeared in the results. */
const warmUpSeconds = 5;

/** Measures the same load on three paths: directly to the engine, through a minimal proxy, and through one entry and one sidecar. */
export async function runBench(options: BenchOptions): Promise<PhaseResult[]> {
	const store = new DisposableStore();
	const engine = store.add(
		await startChildServer('engine-process', [
			String(options.firstTokenMs),
			String(options.gapMs),
		]),
	);
	const passThrough = store.add(
		await startChildServer('pass-through-process', [engine.url]),
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
			// Equals the duration of an answer, so that on average half of the callers have one in progress.
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
				{role: 'entry', read: async () => readProcessUsage(fleet, entry!)},
				{role: 'sidecar', read: async () => readProcessUsage(fleet, sidecar!)},
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
	await runLoad(url, {...load, seconds: warmUpSeconds});
	const before = await Promise.all(meters.map(async ({read}) => read()));
	const result = await runLoad(url, load);
	if (result.answers === 0) {
		throw new Error(
			`${path}: no answer was complete; last error: ${result.lastError}`,
		);
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

async function readUsage(url: string): Promise<ResourceUsage> {
	const answer = await request(`${url}/usage`);
	return usageSchema.parse(await answer.body.json());
}

async function readProcessUsage(
	fleet: Fleet,
	target: FleetProcess,
): Promise<ResourceUsage> {
	const dump = dumpSchema.parse(await fleet.dump(target));
	const {cpuUserMicros, cpuSystemMicros, rssBytes} = dump.process;
	return {cpuMicros: cpuUserMicros + cpuSystemMicros, rssBytes};
}
