import {hash32, Random} from '../../base/index.js';
import type {ListedEndpoint} from '../../interfaces/index.js';
import {PeerLoads} from './peer-loads.js';
import {place, type PlacementRequest} from './placement.js';
import {LocalPressure} from './spill-over.js';
import {Upstream, type ActiveRequest} from './upstream.js';

/** Duration of the work of one request on a usual server, in milliseconds. */
const workMs = 60;

/** Interval between two attempts of a gateway to place its waiting requests, in milliseconds. */
const retryMs = 10;

/** Way between two data centres, one way, in milliseconds. */
const wayMs = 1.4;

/** Server of a plain service. */
export type SimulatedServer = {
	readonly dataCentre: string;
	readonly slots: number;
	/** Duration of its work relative to a usual server. */
	readonly lastingFactor: number;
	/** Slowdown of its machine at a time. */
	readonly slowdown: (now: number) => number;
};

export type SimulatedGateway = {
	readonly dataCentre: string;
	/** Requests a second that it receives at a time. */
	readonly rate: (now: number) => number;
	/** Time from which its reports reach no other gateway, and theirs not it, in milliseconds; absent when they always do. */
	readonly isolatedFrom?: number;
};

export type PlainLoad = {
	readonly servers: readonly SimulatedServer[];
	readonly gateways: readonly SimulatedGateway[];
	/** Whether the answers carry the slowdown of the machine. */
	readonly statesSlowdown: boolean;
	/** Interval between two reports of a gateway, in milliseconds. */
	readonly reportMs: number;
	readonly objectiveMs: number;
	/** Size of the body of a request. */
	readonly bodyBytes: number;
	readonly durationMs: number;
	readonly seed: number;
};

/** What the callers of one data centre got. */
export type PlainResult = {
	requests: number;
	onTime: number;
	refused: number;
	/** Requests sent to a server of each data centre. */
	sentTo: Map<string, number>;
	/** Same for each half second. */
	away: number[];
};

type Waiting = {
	readonly id: number;
	readonly arrivedAt: number;
	nextTryAt: number;
};

type Job = {
	readonly gateway: Gateway;
	readonly upstream: Upstream;
	readonly active: ActiveRequest;
	readonly arrivedAt: number;
	readonly sentAt: number;
	readonly expectedMs: number;
	endsAt: number;
};

type Gateway = {
	readonly options: SimulatedGateway;
	readonly name: string;
	readonly peers: PeerLoads;
	readonly upstreams: readonly Upstream[];
	readonly pressure: LocalPressure;
	readonly waiting: Waiting[];
	reports: number;
};

class Server {
	readonly running: Job[] = [];
	readonly queue: Job[] = [];
	readonly options: SimulatedServer;

	constructor(options: SimulatedServer) {
		this.options = options;
	}

	/** Starts queued jobs in free slots; the work takes as long as the machine's state at its start makes it. */
	advance(now: number): Job[] {
		const ended = this.running.filter(({endsAt}) => endsAt <= now);
		for (const job of ended) {
			this.running.splice(this.running.indexOf(job), 1);
		}

		const {slots, lastingFactor, slowdown} = this.options;
		while (this.running.length < slots && this.queue.length > 0) {
			const job = this.queue.shift()!;
			job.endsAt = now + workMs * lastingFactor * slowdown(now);
			this.running.push(job);
		}

		return ended;
	}
}

/** Runs gateways and plain servers in virtual time, in steps of a millisecond; returns what the callers of each data centre got. */
export function simulatePlainLoad(load: PlainLoad): Map<string, PlainResult> {
	const random = new Random(load.seed);
	const servers = load.servers.map((options) => new Server(options));
	const gateways = load.gateways.map((options, index) =>
		createGateway(options, `g${index}`, load.servers),
	);
	const results = new Map<string, PlainResult>();
	for (const {dataCentre} of load.gateways) {
		results.set(dataCentre, {
			requests: 0,
			onTime: 0,
			refused: 0,
			sentTo: new Map(),
			away: [],
		});
	}

	let lastId = 0;
	for (let now = 0; now < load.durationMs; now++) {
		for (const server of servers) {
			for (const job of server.advance(now)) {
				endJob(job, server, load, results, now);
			}
		}

		for (const [index, gateway] of gateways.entries()) {
			if ((now + index * 17) % load.reportMs === 0) {
				sendReport(gateway, gateways, now);
			}

			const {rate, dataCentre} = gateway.options;
			if (random.next() < rate(now) / 1000) {
				lastId++;
				results.get(dataCentre)!.requests++;
				gateway.waiting.push({id: lastId, arrivedAt: now, nextTryAt: now});
			}

			placeWaiting(gateway, servers, load, results, now);
		}
	}

	return results;
}

function createGateway(
	options: SimulatedGateway,
	name: string,
	servers: readonly SimulatedServer[],
): Gateway {
	const peers = new PeerLoads();
	const upstreams = servers.map(({dataCentre, slots}, index) => {
		const listed: ListedEndpoint = {
			id: `s${index}`,
			service: 'plain',
			address: `10.0.0.${index}:80`,
			dataCentre,
			isDraining: false,
			slots,
			startedAt: 1,
			warmUpMs: 0,
		};
		return new Upstream(
			listed,
			0,
			{
				name: 'plain',
				maxConnections: 100,
				engine: undefined,
				scaling: undefined,
			},
			peers,
		);
	});
	return {
		options,
		name,
		peers,
		upstreams,
		pressure: new LocalPressure(),
		waiting: [],
		reports: 0,
	};
}

function sendReport(
	gateway: Gateway,
	gateways: readonly Gateway[],
	now: number,
): void {
	gateway.reports++;
	const report = {
		gateway: gateway.name,
		sequence: gateway.reports,
		incarnation: 1,
		settledReservation: 0,
		loads: gateway.upstreams
			.filter(({ownRunning}) => ownRunning > 0)
			.map(({key, ownRunning}) => ({
				endpoint: key,
				running: ownRunning,
				unreadTokens: 0,
			})),
		prefills: [],
		kept: [],
		leavingEndpoints: [],
	};
	for (const other of gateways) {
		const isCut = [gateway, other].some(
			({options: {isolatedFrom = Number.POSITIVE_INFINITY}}) =>
				now >= isolatedFrom,
		);
		if (other !== gateway && !isCut) {
			other.peers.receive(report, now);
			other.peers.locate(gateway.name, gateway.options.dataCentre);
		}
	}
}

function placeWaiting(
	gateway: Gateway,
	servers: readonly Server[],
	load: PlainLoad,
	results: ReadonlyMap<string, PlainResult>,
	now: number,
): void {
	const result = results.get(gateway.options.dataCentre)!;
	for (const request of gateway.waiting.filter(
		({nextTryAt}) => nextTryAt <= now,
	)) {
		const assignment = place(
			placementRequest(request, gateway, load, now),
			gateway.upstreams,
			now,
		);
		request.nextTryAt = now + retryMs;
		const isLate = now - request.arrivedAt >= load.objectiveMs;
		if (assignment.type === 'wait' && !isLate) {
			continue;
		}

		gateway.waiting.splice(gateway.waiting.indexOf(request), 1);
		if (assignment.type !== 'send') {
			result.refused++;
			continue;
		}

		const {upstream, expectedMs} = assignment;
		const {dataCentre} = upstream.listed;
		result.sentTo.set(dataCentre, (result.sentTo.get(dataCentre) ?? 0) + 1);
		const half = Math.floor(now / 500);
		result.away[half] =
			(result.away[half] ?? 0) +
			Number(dataCentre !== gateway.options.dataCentre);
		servers[gateway.upstreams.indexOf(upstream)]!.queue.push({
			gateway,
			upstream,
			active: upstream.begin([], 0, now),
			arrivedAt: request.arrivedAt,
			sentAt: now,
			expectedMs,
			endsAt: Number.POSITIVE_INFINITY,
		});
	}
}

function placementRequest(
	{id, arrivedAt}: Waiting,
	{options, pressure}: Gateway,
	{objectiveMs, bodyBytes}: PlainLoad,
	now: number,
): PlacementRequest {
	return {
		prompt: undefined,
		links: [],
		waitedMs: now - arrivedAt,
		tried: new Set(),
		isOnce: true,
		dataCentre: options.dataCentre,
		bodyBytes,
		hash: hash32(`request ${id}`),
		pressure,
		objectiveMs,
		rank: 0,
	};
}

function endJob(
	job: Job,
	{options}: Server,
	{statesSlowdown, objectiveMs}: PlainLoad,
	results: ReadonlyMap<string, PlainResult>,
	now: number,
): void {
	const {upstream, gateway, active, sentAt, expectedMs, arrivedAt} = job;
	const {dataCentre} = gateway.options;
	const isAway = dataCentre !== options.dataCentre;
	upstream.end(active);
	upstream.recordDataReceived(now);
	upstream.recordReportedLoad(
		{
			running: 0,
			waiting: 0,
			slots: options.slots,
			slowdown: statesSlowdown ? options.slowdown(now) : undefined,
		},
		now,
	);
	upstream.addFirstByteSample(
		now - sentAt,
		expectedMs,
		now,
		active.expectation,
	);
	const totalMs = now - arrivedAt + (isAway ? 2 * wayMs : 0);
	results.get(dataCentre)!.onTime += Number(totalMs <= objectiveMs);
}
