/** Size that the design has to carry; docs/design.md, "Design scale". */
export const fleetSize = {
	entries: 400,
	endpoints: 5400,
	requestsPerSecond: 3100,
	tokensPerSecond: 1_400_000,
	workspaces: 5700,
	models: 18,
	regions: 3,
	dataCentres: 11,
	changesPerDay: 18_000,
	inForceSeconds: 12,
	firstTokenSeconds: 0.66,
	gapSeconds: 0.032,
	/** Share of requests that are non-idempotent; the table's write rate follows from it. */
	nonIdempotentShare: 0.05,
} as const;

/** Limits on the control work of one node. */
export const controlLimits = {
	/** Processor time in microseconds a second: 1.5% of a core. */
	microseconds: 15_000,
	/** Memory in bytes: 128 MB. */
	memoryBytes: 128_000_000,
	/** Traffic in bytes a second: 16 KB. */
	bytesPerSecond: 16_000,
} as const;

/** Rates of the platform's table. */
export const tableLimits = {
	readsPerSecond: 2000,
	/** "Several hundred" writes a second, taken as 300. */
	writesPerSecond: 300,
} as const;

const changesPerSecond = fleetSize.changesPerDay / 86_400;
const tokensPerRequest =
	fleetSize.tokensPerSecond / fleetSize.requestsPerSecond;

/** Figures for one process that follow from the size. */
export const perProcess = {
	changesPerSecond,
	tokensPerRequest,
	requestsPerEntry: fleetSize.requestsPerSecond / fleetSize.entries,
	requestsPerSidecar: fleetSize.requestsPerSecond / fleetSize.endpoints,
	tokensPerEntry: fleetSize.tokensPerSecond / fleetSize.entries,
	tokensPerSidecar: fleetSize.tokensPerSecond / fleetSize.endpoints,
	/** Answers in progress, at the targets for first token and gap. */
	streamsPerEntry:
		(fleetSize.requestsPerSecond / fleetSize.entries) *
		(fleetSize.firstTokenSeconds + tokensPerRequest * fleetSize.gapSeconds),
	streamsPerSidecar:
		(fleetSize.requestsPerSecond / fleetSize.endpoints) *
		(fleetSize.firstTokenSeconds + tokensPerRequest * fleetSize.gapSeconds),
	/** Reads of the instance list: 100/s by the whole fleet. */
	listReadsPerSecond: 100 / (fleetSize.entries + fleetSize.endpoints),
	endpointsPerModel: fleetSize.endpoints / fleetSize.models,
} as const;
