import type {SpreadRow} from '../spread-bench.js';
import {
	controlLimits,
	fleetSize,
	perProcess,
	tableLimits,
} from './fleet-size.js';
import {valueAt} from './measure.js';
import type {MeasuredSlope, SlopeId} from './slopes.js';
import type {RequestTraffic} from './traffic.js';

/** One figure at the design size beside its limit. */
export type Figure = {
	readonly role: 'entry' | 'sidecar' | 'operators' | 'table';
	readonly resource: string;
	readonly unit: string;
	readonly value: number;
	/** Undefined where the letter sets none. */
	readonly limit: number | undefined;
	readonly mechanism: string;
};

/** Measurements from which the figures are worked out. */
export type Measurements = {
	readonly slopes: ReadonlyMap<SlopeId, MeasuredSlope>;
	readonly traffic: RequestTraffic;
	/** The chosen way to spread changes, measured at the size of the fleet. */
	readonly spread: SpreadRow;
};

/** Heartbeat on a link with work that carries nothing else, once a second: a masked WebSocket ping of 6 bytes and its answer of 2. */
const heartbeatBytes = 8;

/** Reads of the instance list, per second and process. */
const instanceListReads = 1;

/** Works out every figure at the size of the fleet. */
export function projectFigures(measurements: Measurements): Figure[] {
	return [
		...entryFigures(measurements),
		...sidecarFigures(measurements),
		...tableFigures(measurements),
		{
			role: 'table',
			resource: 'time in force everywhere, worst',
			unit: 's',
			value: measurements.spread.worstMs / 1000,
			limit: fleetSize.inForceSeconds,
			mechanism: 'push to random peers, digest exchange each second',
		},
	];
}

function entryFigures({slopes, traffic, spread}: Measurements): Figure[] {
	const at = (id: SlopeId, size: number) => valueAt(slopes.get(id)!.fit, size);
	const offersTime =
		perProcess.requestsPerEntry *
		at('requestTime', perProcess.endpointsPerModel);
	const changesTime =
		perProcess.changesPerSecond * at('changeTime', fleetSize.workspaces) +
		instanceListReads * at('instanceListTime', fleetSize.endpoints);
	return [
		{
			role: 'entry',
			resource: 'control memory: records and instance list',
			unit: 'bytes',
			value:
				at('workspaceMemory', fleetSize.workspaces) +
				slopes.get('endpointMemory')!.fit.slope * fleetSize.endpoints,
			limit: controlLimits.memoryBytes,
			mechanism: 'incremental index of the records in force',
		},
		{
			role: 'entry',
			resource: 'control processor time',
			unit: 'µs/s',
			value: offersTime + changesTime,
			limit: controlLimits.microseconds,
			mechanism: `${traffic.offers} offers a request; changes indexed one by one`,
		},
		{
			role: 'entry',
			resource: 'control traffic: offers',
			unit: 'bytes/s',
			value: perProcess.requestsPerEntry * traffic.offerBytes,
			limit: controlLimits.bytesPerSecond,
			mechanism: 'fresh offers to a few candidates in place of pushed load',
		},
		{
			role: 'entry',
			resource: 'control traffic: heartbeats, all links silent',
			unit: 'bytes/s',
			value: perProcess.streamsPerEntry * heartbeatBytes,
			limit: controlLimits.bytesPerSecond,
			mechanism: 'only links with work are open',
		},
		{
			role: 'entry',
			resource: 'control traffic: spread of changes',
			unit: 'bytes/s',
			value: spread.bytesPerSecond,
			limit: controlLimits.bytesPerSecond,
			mechanism: 'push to random peers, digest exchange each second',
		},
		{
			role: 'entry',
			resource: 'control traffic, sum',
			unit: 'bytes/s',
			value:
				perProcess.requestsPerEntry * traffic.offerBytes +
				perProcess.streamsPerEntry * heartbeatBytes +
				spread.bytesPerSecond,
			limit: controlLimits.bytesPerSecond,
			mechanism: 'all of the above',
		},
		{
			role: 'entry',
			resource: 'answers in progress: memory',
			unit: 'bytes',
			value: at('streamMemory', perProcess.streamsPerEntry),
			limit: undefined,
			mechanism: 'tokens kept for continuation, bounded for each answer',
		},
		{
			role: 'entry',
			resource: 'relaying tokens: decision time',
			unit: 'µs/s',
			value:
				perProcess.tokensPerEntry * at('tokenTime', perProcess.streamsPerEntry),
			limit: undefined,
			mechanism: 'one map look-up a token',
		},
	];
}

function sidecarFigures({slopes, traffic, spread}: Measurements): Figure[] {
	const at = (id: SlopeId, size: number) => valueAt(slopes.get(id)!.fit, size);
	const offersPerSecond = perProcess.requestsPerSidecar * traffic.offers;
	const queued = 50;
	return [
		{
			role: 'sidecar',
			resource: 'control memory: records and instance list',
			unit: 'bytes',
			value:
				at('workspaceMemory', fleetSize.workspaces) +
				slopes.get('endpointMemory')!.fit.slope * fleetSize.endpoints,
			limit: controlLimits.memoryBytes,
			mechanism: 'the same index as in an entry',
		},
		{
			role: 'sidecar',
			resource: 'control processor time',
			unit: 'µs/s',
			value:
				offersPerSecond * at('offerTime', queued) +
				perProcess.changesPerSecond * at('changeTime', fleetSize.workspaces) +
				instanceListReads * at('instanceListTime', fleetSize.endpoints),
			limit: controlLimits.microseconds,
			mechanism: 'offers answered from own state',
		},
		{
			role: 'sidecar',
			resource: 'control traffic: offers',
			unit: 'bytes/s',
			value: perProcess.requestsPerSidecar * traffic.offerBytes,
			limit: controlLimits.bytesPerSecond,
			mechanism: 'asked only by entries with a request',
		},
		{
			role: 'sidecar',
			resource: 'control traffic: spread of changes',
			unit: 'bytes/s',
			value: spread.bytesPerSecond,
			limit: controlLimits.bytesPerSecond,
			mechanism: 'push to random peers, digest exchange each second',
		},
		{
			role: 'sidecar',
			resource: `${queued} attempts waiting: memory`,
			unit: 'bytes',
			value: at('attemptMemory', queued),
			limit: undefined,
			mechanism: 'bounded queue; the body is most of it',
		},
		{
			role: 'sidecar',
			resource: 'tokens: decision time',
			unit: 'µs/s',
			value: perProcess.tokensPerSidecar * at('sidecarTokenTime', queued),
			limit: undefined,
			mechanism: 'batched updates for each link',
		},
	];
}

function tableFigures({spread}: Measurements): Figure[] {
	return [
		{
			role: 'table',
			resource: 'writes: run records',
			unit: '1/s',
			value: 2 * fleetSize.requestsPerSecond * fleetSize.nonIdempotentShare,
			limit: tableLimits.writesPerSecond,
			mechanism: 'claim and completion of each non-idempotent request',
		},
		{
			role: 'table',
			resource: 'writes: changes of records',
			unit: '1/s',
			value: perProcess.changesPerSecond,
			limit: tableLimits.writesPerSecond,
			mechanism: 'one transaction a change',
		},
		{
			role: 'table',
			resource: 'reads: configuration, mean',
			unit: '1/s',
			value: spread.readsPerSecond,
			limit: tableLimits.readsPerSecond,
			mechanism: 'polls spread over the fleet at a fixed total rate',
		},
		{
			role: 'table',
			resource: 'reads: configuration, peak',
			unit: '1/s',
			value: spread.readsPeak,
			limit: tableLimits.readsPerSecond,
			mechanism: 'polls spread over the fleet at a fixed total rate',
		},
		{
			role: 'table',
			resource: 'reads: run records',
			unit: '1/s',
			value: fleetSize.requestsPerSecond * fleetSize.nonIdempotentShare,
			limit: tableLimits.readsPerSecond,
			mechanism: 'one read before each claim',
		},
	];
}
