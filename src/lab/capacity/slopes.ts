import {Catalogue} from '../../services/index.js';
import {perProcess} from './fleet-size.js';
import {
	fitLine,
	microsecondsPerCall,
	retainedBytes,
	type Fit,
	type Point,
} from './measure.js';
import {
	callerRequest,
	buildCatalogue,
	chunkUpdate,
	endedUpdate,
	endpointViews,
	listInstances,
	newEntry,
	newSidecar,
	profile,
	recordRows,
	startedAttempt,
	startMessage,
	startRequest,
	workspaceRow,
} from './workload.js';

/** A cost that is measured at several sizes, to find how it grows with the size. */
export type Slope = {
	readonly id: string;
	readonly name: string;
	readonly role: 'entry' | 'sidecar' | 'both';
	/** Unit of `sizes`, the horizontal axis. */
	readonly per: string;
	readonly unit: 'bytes' | 'microseconds';
	readonly sizes: readonly number[];
	readonly measure: (size: number) => number;
};

/** A slope with its measured points and the line fitted to them. */
export type MeasuredSlope = Slope & {
	readonly points: readonly Point[];
	readonly fit: Fit;
};

const requestCount = 300;
const tokenCount = 20_000;

/** All costs that the capacity report measures. */
export const slopes = [
	{
		id: 'workspaceMemory',
		name: 'records in memory, with 100 endpoints',
		role: 'both',
		per: 'workspace',
		unit: 'bytes',
		sizes: [600, 1900, 5700],
		measure: (size) => retainedBytes(() => buildCatalogue(size, 100)),
	},
	{
		id: 'endpointMemory',
		name: 'records and instance list in memory, with 100 workspaces',
		role: 'both',
		per: 'endpoint',
		unit: 'bytes',
		sizes: [600, 1800, 5400],
		measure: (size) => retainedBytes(() => buildCatalogue(100, size)),
	},
	{
		id: 'changeTime',
		name: 'putting a changed workspace in force',
		role: 'both',
		per: 'workspace',
		unit: 'microseconds',
		sizes: [600, 1900, 5700],
		measure: (size) => changeTime(size, size),
	},
	{
		id: 'instanceListTime',
		name: 'taking over an instance list that has one change',
		role: 'entry',
		per: 'endpoint',
		unit: 'microseconds',
		sizes: [600, 1800, 5400],
		measure: instanceListTime,
	},
	{
		id: 'requestTime',
		name: 'choosing an endpoint for a request',
		role: 'entry',
		per: 'endpoint of the model',
		unit: 'microseconds',
		sizes: [30, 100, 300],
		measure: requestTime,
	},
	{
		id: 'streamMemory',
		name: 'answers in progress with all their tokens delivered',
		role: 'entry',
		per: 'answer in progress',
		unit: 'bytes',
		sizes: [30, 60, 120],
		measure: (size) =>
			retainedBytes(() =>
				openStreams(size, Math.round(perProcess.tokensPerRequest)),
			),
	},
	{
		id: 'tokenTime',
		name: 'relaying a token',
		role: 'entry',
		per: 'answer in progress',
		unit: 'microseconds',
		sizes: [30, 60, 120],
		measure: tokenTime,
	},
	{
		id: 'offerTime',
		name: 'answering an offer',
		role: 'sidecar',
		per: 'queued attempt',
		unit: 'microseconds',
		sizes: [10, 50, 200],
		measure: offerTime,
	},
	{
		id: 'attemptMemory',
		name: 'attempts waiting',
		role: 'sidecar',
		per: 'queued attempt',
		unit: 'bytes',
		sizes: [10, 50, 200],
		measure: (size) => retainedBytes(() => queuedSidecar(size)),
	},
	{
		id: 'sidecarTokenTime',
		name: 'taking a token from the endpoint',
		role: 'sidecar',
		per: 'queued attempt',
		unit: 'microseconds',
		sizes: [10, 50, 200],
		measure: sidecarTokenTime,
	},
] as const satisfies readonly Slope[];

export type SlopeId = (typeof slopes)[number]['id'];

/** Measures every slope at each of its sizes and fits a line to the points. */
export function measureSlopes(): Map<SlopeId, MeasuredSlope> {
	return new Map(slopes.map((slope) => [slope.id, measureSlope(slope)]));
}

function measureSlope(slope: Slope): MeasuredSlope {
	// The first run compiles the code; its figure is not used.
	slope.measure(slope.sizes[0]!);
	const points = slope.sizes.map((size) => ({
		size,
		value: slope.measure(size),
	}));
	return {...slope, points, fit: fitLine(points)};
}

function changeTime(workspaces: number, endpoints: number): number {
	const catalogue = buildCatalogue(workspaces, endpoints);
	return microsecondsPerCall(20, (index) => {
		const row = workspaceRow(index % workspaces, 2 + index);
		catalogue.set(row.key, row.value);
	});
}

function instanceListTime(endpoints: number): number {
	const rows = recordRows(100, endpoints);
	const catalogue = new Catalogue();
	catalogue.replaceAll(new Map(rows.map(({key, value}) => [key, value])));
	const instances = listInstances(rows);
	return microsecondsPerCall(10, (index) => {
		catalogue.setInstances(
			instances.map((instance, n) =>
				n === index ? {...instance, state: 'leaving'} : instance,
			),
		);
	});
}

function requestTime(endpoints: number): number {
	const views = endpointViews(endpoints);
	const entry = newEntry();
	connectAll(entry, endpoints);
	return microsecondsPerCall(requestCount, (index) => {
		const request = callerRequest(index, views);
		const started = startedAttempt(startRequest(entry, request, index));
		if (started) {
			entry.handle(
				{
					type: 'peer',
					endpoint: started.endpoint,
					message: endedUpdate(started.attempt, 0),
				},
				index,
			);
		}
	});
}

function connectAll(
	entry: ReturnType<typeof newEntry>,
	endpoints: number,
): void {
	for (const {name} of endpointViews(endpoints)) {
		entry.handle(
			{type: 'linkUp', endpoint: name, incarnation: 'incarnation-1'},
			0,
		);
	}
}

type OpenStreams = {
	readonly entry: ReturnType<typeof newEntry>;
	readonly started: Array<{attempt: string; endpoint: string}>;
};

function openStreams(count: number, tokens: number): OpenStreams {
	const entry = newEntry();
	const views = endpointViews(100);
	connectAll(entry, 100);
	const started = [];
	for (let n = 0; n < count; n++) {
		const stream = startedAttempt(
			startRequest(entry, callerRequest(n, views), 0),
		);
		if (stream) {
			started.push(stream);
			relayTokens(entry, stream, 0, tokens);
		}
	}

	return {entry, started};
}

function relayTokens(
	entry: OpenStreams['entry'],
	{attempt, endpoint}: {attempt: string; endpoint: string},
	from: number,
	count: number,
): void {
	for (let sequence = from + 1; sequence <= from + count; sequence++) {
		entry.handle(
			{type: 'peer', endpoint, message: chunkUpdate(attempt, sequence)},
			sequence,
		);
	}
}

function tokenTime(streams: number): number {
	const {entry, started} = openStreams(streams, 0);
	return microsecondsPerCall(tokenCount, (index) => {
		const stream = started[index % started.length]!;
		relayTokens(entry, stream, Math.floor(index / started.length), 1);
	});
}

function queuedSidecar(count: number) {
	const sidecar = newSidecar();
	for (let n = 0; n < count; n++) {
		sidecar.handle(
			{type: 'peer', link: 'link-1', message: startMessage(n)},
			n / 1000,
		);
	}

	return sidecar;
}

function offerTime(queued: number): number {
	const sidecar = queuedSidecar(queued);
	return microsecondsPerCall(requestCount, (index) => {
		sidecar.handle(
			{
				type: 'peer',
				link: 'link-1',
				message: {
					type: 'offer',
					id: `offer-${index}`,
					profile,
					remainingMs: 60_000,
				},
			},
			1,
		);
	});
}

function sidecarTokenTime(queued: number): number {
	const sidecar = queuedSidecar(queued);
	return microsecondsPerCall(tokenCount / 10, () => {
		sidecar.handle(
			{
				type: 'endpoint',
				attempt: `${callerRequest(0, []).id}.1`,
				event: {type: 'chunk', data: 'x', tokens: 1},
			},
			1,
		);
	});
}
