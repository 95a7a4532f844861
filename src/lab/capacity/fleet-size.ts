/** Fleet size and load that the design must support; see docs/design.md, "Design scale". */
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
	/** Fraction of requests that are non-idempotent; it determines the write rate of the table. */
	nonIdempotentShare: 0.05,
} as const;

/** Limits on the resources that the control plane may use on one node. */
export const controlLimits = {
	/** Processor time in microseconds per second: 1.5% of a core. */
	microseconds: 15_000,
	/** Memory in bytes: 128 MB. */
	memoryBytes: 128_000_000,
	/** Traffic in bytes per second: 16 KB. */
	bytesPerSecond: 16_000,
} as const;

/** Maximum request rates of the platform's table, per second. */
export const tableLimits = {
	readsPerSecond: 2000,
	/** The requirement says "several hundred" writes per second; 300 is assumed. */
	writesPerSecond: 300,
} as const;

const changesPerSecond = fleetSize.changesPerDay / 86_400;
const tokensPerRequest =
	fleetSize.tokensPerSecond / fleetSize.requestsPerSecond;

/** Load of one process, derived from the fleet size; rates are per second. */
export const perProcess = {
	changesPerSecond,
	tokensPerRequest,
	requestsPerEntry: fleetSize.requestsPerSecond / fleetSize.entries,
	requestsPerSidecar: fleetSize.requestsPerSecond / fleetSize.endpoints,
	tokensPerEntry: fleetSize.tokensPerSecond / fleetSize.entries,
	tokensPerSidecar: fleetSize.tokensPerSecond / fleetSize.endpoints,
	/** Answers in progress in one process when the first token and the gaps take as long as their targets allow. */
	streamsPerEntry:
		(fleetSize.requestsPerSecond / fleetSize.entries) *
		(fleetSize.firstTokenSeconds + tokensPerRequest * fleetSize.gapSeconds),
	streamsPerSidecar:
		(fleetSize.requestsPerSecond / fleetSize.endpoints) *
		(fleetSize.firstTokenSeconds + tokensPerRequest * fleetSize.gapSeconds),
	/** Reads of the instance list by one process: the whole fleet makes 100/s. */
	listReadsPerSecond: 100 / (fleetSize.entries + fleetSize.endpoints),
	endpointsPerModel: fleetSize.endpoints / fleetSize.models,
} as const;
