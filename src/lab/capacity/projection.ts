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

/** Use of one resource at the design size, with its limit. */
export type Figure = {
	readonly role: 'entry' | 'sidecar' | 'operators' | 'table';
	readonly resource: string;
	readonly unit: string;
	readonly value: number;
	/** Undefined where the requirements set no limit. */
	readonly limit: number | undefined;
	readonly mechanism: string;
};

/** Measurements from which the figures are projected. */
export type Measurements = {
	readonly slopes: ReadonlyMap<SlopeId, MeasuredSlope>;
	readonly traffic: RequestTraffic;
	/** Distribution of changes with the strategy in use, measured at the design size. */
	readonly spread: SpreadRow;
	/** Membership measurement, from which the traffic of an idle fleet is used. */
	readonly membership: LeaveRow;
	readonly opening: LinkOpening;
};

/** Bytes of the heartbeat sent once a second on a link that has requests in progress but carries nothing else: a masked WebSocket ping of 6 bytes and its pong of 2. */
const heartbeatBytes = 8;

/** Links that a process opens for gossip, per second: one for a digest, one for a membership exchange, and 4 for each change that it pushes. Each needs a new link because, at this fleet size, a peer is hardly ever chosen again in the next second. */
const gossipLinksPerSecond = 2 + 4 * perProcess.changesPerSecond;

/** Number of queued attempts for which the figures of a sidecar are projected. */
const queueLength = 50;

/** Projects every figure to the design size. */
export function projectFigures(measurements: Measurements): Figure[] {
	const {slopes, traffic, spread} = measurements;
	const project = (id: SlopeId, size: number) =>
		valueAt(slopes.get(id)!.fit, size);
	const offersPerSecond = perProcess.requestsPerSidecar * traffic.offers;
	return [
		...controlFigures('entry', measurements, {
			microseconds:
				perProcess.requestsPerEntry *
				project('requestTime', perProcess.endpointsPerModel),
			offerBytes: perProcess.requestsPerEntry * traffic.offerBytes,
			heartbeatLinks: perProcess.streamsPerEntry,
		}),
		{
			role: 'entry',
			resource: 'answers in progress: memory',
			unit: 'bytes',
			value: project('streamMemory', perProcess.streamsPerEntry),
			limit: undefined,
			mechanism: 'tokens kept for continuation, bounded for each answer',
		},
		{
			role: 'entry',
			resource: 'relaying tokens: decision time',
			unit: 'µs/s',
			value:
				perProcess.tokensPerEntry *
				project('tokenTime', perProcess.streamsPerEntry),
			limit: undefined,
			mechanism: 'one map look-up a token',
		},
		...controlFigures('sidecar', measurements, {
			microseconds: offersPerSecond * project('offerTime', queueLength),
			offerBytes: perProcess.requestsPerSidecar * traffic.offerBytes,
			heartbeatLinks: perProcess.streamsPerSidecar,
		}),
		{
			role: 'sidecar',
			resource: `${queueLength} attempts waiting: memory`,
			unit: 'bytes',
			value: project('attemptMemory', queueLength),
			limit: undefined,
			mechanism: 'bounded queue; the body is most of it',
		},
		{
			role: 'sidecar',
			resource: 'tokens: decision time',
			unit: 'µs/s',
			value:
				perProcess.tokensPerSidecar * project('sidecarTokenTime', queueLength),
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

/** Control load that differs by role; the rest is the same for all processes. */
type RoleLoad = {
	/** Processor time for offers, in microseconds per second. */
	readonly microseconds: number;
	/** Traffic of offers and their replies, in bytes per second. */
	readonly offerBytes: number;
	/** Links with requests in progress; the worst case is assumed, in which all are idle and send heartbeats. */
	readonly heartbeatLinks: number;
};

function controlFigures(
	role: 'entry' | 'sidecar',
	{slopes, spread, membership, opening}: Measurements,
	load: RoleLoad,
): Figure[] {
	const project = (id: SlopeId, size: number) =>
		valueAt(slopes.get(id)!.fit, size);
	// A process accepts as many links as it opens. The measured time covers both ends, so it counts once; the bytes are sent and received, so they count twice.
	const openingTime = gossipLinksPerSecond * opening.microseconds;
	const openingBytes = 2 * gossipLinksPerSecond * opening.bytes;
	const gossipBytes =
		2 * (spread.bytesPerSecond + membership.restBytesPerSecond);
	const heartbeats = load.heartbeatLinks * heartbeatBytes;
	const indexTime =
		perProcess.changesPerSecond * project('changeTime', fleetSize.workspaces) +
		perProcess.listReadsPerSecond *
			project('instanceListTime', fleetSize.endpoints);
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
				project('workspaceMemory', fleetSize.workspaces) +
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
