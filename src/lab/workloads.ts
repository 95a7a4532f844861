import type {ClassDemand, Workload} from './workload.js';

/** Gap target of all classes at the design scale, in milliseconds. */
const gapMs = 32;

// The guaranteed shares sum to 20%, and the tight class alone peaks below 70% of
// the capacity at load 3, so that the contract can be met at every load.

/** Reminder fleet of a hotel chain: staff questions, reminder letters, summaries. */
const gebeyaClasses: readonly ClassDemand[] = [
	{
		contract: {
			requestClass: 'questions',
			tier: 0,
			firstTokenMs: 660,
			gapMs,
			share: 0,
			patience: 1,
		},
		part: 0.35,
		promptTokens: 300,
		outputTokens: 60,
		spread: 0.6,
		sharedTokens: 192,
		burst: 1.1,
	},
	{
		contract: {
			requestClass: 'letters',
			tier: 1,
			firstTokenMs: 10_000,
			gapMs,
			share: 0.15,
			patience: 1,
		},
		part: 0.4,
		promptTokens: 400,
		outputTokens: 160,
		spread: 0.5,
		sharedTokens: 256,
		burst: 2,
	},
	{
		contract: {
			requestClass: 'summaries',
			tier: 2,
			firstTokenMs: 20_000,
			gapMs,
			share: 0.05,
			patience: 1,
		},
		part: 0.25,
		promptTokens: 900,
		outputTokens: 120,
		spread: 0.8,
		sharedTokens: 128,
		burst: 1,
	},
];

/** Valuation fleet: counter questions, valuation letters, compliance files. */
const harlechClasses: readonly ClassDemand[] = [
	{
		contract: {
			requestClass: 'counter',
			tier: 0,
			firstTokenMs: 660,
			gapMs,
			share: 0,
			patience: 1,
		},
		part: 0.4,
		promptTokens: 500,
		outputTokens: 50,
		spread: 0.7,
		sharedTokens: 256,
		burst: 1.4,
	},
	{
		contract: {
			requestClass: 'valuations',
			tier: 1,
			firstTokenMs: 8000,
			gapMs,
			share: 0.1,
			patience: 1,
		},
		part: 0.35,
		promptTokens: 700,
		outputTokens: 180,
		spread: 0.5,
		sharedTokens: 256,
		burst: 1.5,
	},
	{
		contract: {
			requestClass: 'compliance',
			tier: 2,
			firstTokenMs: 30_000,
			gapMs,
			share: 0.1,
			patience: 1,
		},
		part: 0.25,
		promptTokens: 1500,
		outputTokens: 200,
		spread: 0.9,
		sharedTokens: 128,
		burst: 1,
	},
];

const gebeya: Workload = {
	name: 'gebeya-rush',
	classes: gebeyaClasses,
	workspaces: 10,
	skew: 1,
	engines: 4,
	fault: 'none',
};

const harlech: Workload = {
	...gebeya,
	name: 'harlech-saturday',
	classes: harlechClasses,
};

/** A small KV cache, and two classes of one tier with different targets. */
const memoryPressure: Workload = {
	...harlech,
	name: 'memory-pressure',
	kvCapacity: 10_000,
	classes: harlechClasses.map((item) =>
		item.contract.requestClass === 'compliance'
			? {...item, contract: {...item.contract, tier: 1}}
			: item,
	),
};

/** Workloads modelled on the two deployments, without and with faults. */
export const workloads: readonly Workload[] = [
	gebeya,
	harlech,
	{...gebeya, name: 'straggler', fault: 'straggler'},
	{...harlech, name: 'crash', fault: 'crash'},
	memoryPressure,
	{
		...gebeya,
		name: 'batches',
		classes: gebeyaClasses.map((item) => ({
			...item,
			batch: item.contract.tier === 0 ? 6 : 30,
		})),
	},
	{
		...harlech,
		name: 'table-outage',
		fault: 'tableOutage',
		service: {
			contract: {
				requestClass: 'drafts',
				tier: 0,
				firstTokenMs: 2000,
				gapMs: 1000,
				share: 0,
				patience: 1,
			},
			part: 0.3,
			durationMs: 200,
			instances: 2,
		},
	},
];
