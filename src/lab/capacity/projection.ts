import type {LeaveRow} from '../membership-bench.js';
import type {SpreadRow} from '../spread-bench.js';
import {
	controlLimits,
	fleetSize,
	perProcess,
	tableLimits,
} from './fleet-size.js';
import type {LinkOpening} from './link-opening.js';
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
	/** Membership at rest. */
	readonly membership: LeaveRow;
	readonly opening: LinkOpening;
};

/** Heartbeat on a link with work that carries nothing else, once a second: a masked WebSocket ping of 6 bytes and its answer of 2. */
const heartbeatBytes = 8;

/** Links that a process opens for gossip, per second: one digest, one membership exchange, and pushes of each change to 4 peers. At this size the peers of two seconds hardly ever coincide. */
const gossipOpenings = 2 + 4 * perProcess.changesPerSecond;

/** Queue length for which a sidecar's figures are given. */
const queued = 50;

/** Works out every figure at the size of the fleet. */
export function projectFigures(measurements: Measurements): Figure[] {
	const {slopes, traffic, spread} = measurements;
	const at = (id: SlopeId, size: number) => valueAt(slopes.get(id)!.fit, size);
	const offersPerSecond = perProcess.requestsPerSidecar * traffic.offers;
	return [
		...controlFigures('entry', measurements, {
			microseconds:
				perProcess.requestsPerEntry *
				at('requestTime', perProcess.endpointsPerModel),
			offerBytes: perProcess.requestsPerEntry * traffic.offerBytes,
			heartbeatLinks: perProcess.streamsPerEntry,
		}),
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
		...controlFigures('sidecar', measurements, {
			microseconds: offersPerSecond * at('offerTime', queued),
			offerBytes: perProcess.requestsPerSidecar * traffic.offerBytes,
			heartbeatLinks: perProcess.streamsPerSidecar,
		}),
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
		...tableFigures(measurements),
		{
			role: 'table',
			resource: 'time in force everywhere, worst',
			unit: 's',
			value: spread.worstMs / 1000,
			limit: fleetSize.inForceSeconds,
			mechanism: 'push to random peers, digest exchange each second',
		},
	];
}

/** Control load of one process, beside what all roles share. */
type RoleLoad = {
	/** Processor time for offers, in microseconds a second. */
	readonly microseconds: number;
	readonly offerBytes: number;
	/** Links with work, all taken as silent. */
	readonly heartbeatLinks: number;
};

function controlFigures(
	role: 'entry' | 'sidecar',
	{slopes, spread, membership, opening}: Measurements,
	load: RoleLoad,
): Figure[] {
	const at = (id: SlopeId, size: number) => valueAt(slopes.get(id)!.fit, size);
	// Each process opens and accepts as many; the measured time is that of both ends.
	const openingTime = gossipOpenings * opening.microseconds;
	const openingBytes = 2 * gossipOpenings * opening.bytes;
	const gossipBytes =
		2 * (spread.bytesPerSecond + membership.restBytesPerSecond);
	const heartbeats = load.heartbeatLinks * heartbeatBytes;
	const indexTime =
		perProcess.changesPerSecond * at('changeTime', fleetSize.workspaces) +
		perProcess.listReadsPerSecond * at('instanceListTime', fleetSize.endpoints);
	const traffic = [
		['offers', load.offerBytes, 'offers to a few candidates, not pushed load'],
		['heartbeats, all links silent', heartbeats, 'only links with work beat'],
		[
			'changes and membership',
			gossipBytes,
			'pushes and digests to random peers',
		],
		[
			'opening links for gossip',
			openingBytes,
			'a new link for each random peer',
		],
	] as const;
	return [
		{
			role,
			resource: 'control memory: records and instance list',
			unit: 'bytes',
			value:
				at('workspaceMemory', fleetSize.workspaces) +
				slopes.get('endpointMemory')!.fit.slope * fleetSize.endpoints,
			limit: controlLimits.memoryBytes,
			mechanism: 'incremental index of the records in force',
		},
		{
			role,
			resource: 'control processor time',
			unit: 'µs/s',
			value: load.microseconds + indexTime + openingTime,
			limit: controlLimits.microseconds,
			mechanism: `${Math.round(openingTime)} µs of it for opening links`,
		},
		...traffic.map(([name, value, mechanism]) => ({
			role,
			resource: `control traffic: ${name}`,
			unit: 'bytes/s',
			value,
			limit: controlLimits.bytesPerSecond,
			mechanism,
		})),
		{
			role,
			resource: 'control traffic, sum',
			unit: 'bytes/s',
			value: traffic.reduce((sum, [, value]) => sum + value, 0),
			limit: controlLimits.bytesPerSecond,
			mechanism: 'all of the above, sent and received',
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
