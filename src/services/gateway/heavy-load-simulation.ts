import {RequestRanks} from './request-ranks.js';
import {
	SimulatedEngine,
	type Call,
	type CallerRequest,
	type Kind,
} from './simulated-engine.js';
import {
	engines,
	service,
	SimulatedGateway,
	type GatewayOptions,
} from './simulated-gateway.js';
import {SimulatedReturns} from './simulated-returns.js';

/** Time between two load reports of a gateway, in milliseconds. */
const reportIntervalMs = 60;

/** Time between two reports of the shares of a gateway, in milliseconds. */
const shareReportIntervalMs = 400;

export const chat: Kind = {
	tier: 0,
	routeTier: 0,
	objectiveMs: 300,
	timeoutMs: 12_000,
	outputTokens: 290,
	perSecond: 12,
};
export const draft: Kind = {
	tier: 2,
	routeTier: 2,
	objectiveMs: 2500,
	timeoutMs: 15_000,
	outputTokens: 380,
	perSecond: 30,
};

/** Prompt tokens of successive drafts: many short ones, few very long ones. */
export const draftTokens = [
	3000, 5000, 2500, 9000, 4000, 30_000, 6000, 3500, 12_000, 7000,
];
export const chatTokens = [500, 700, 600, 900, 550];
export const noteTokens = [1200, 2500, 800, 4500, 1900, 3300];

/** Kinds of requests that arrive at the same time, with the prompt tokens of successive requests. */
export type Load = ReadonlyArray<readonly [Kind, readonly number[]]>;

/** Gateway that a request reaches, by its kind and its number among all requests. */
export type Distribution = (kind: Kind, number: number) => number;

/** Every gateway gets requests of all kinds. */
const even: Distribution = (_, number) => number;

export type SimulationOptions = {
	/** Whether workspaces have fair shares; by default if kinds of several workspaces arrive. */
	readonly hasShares?: boolean;
	/** Called with the number of datagrams about shares that a gateway sends. */
	readonly onShareDatagrams?: (count: number, now: number) => void;
	/** Whether all datagrams about shares that are sent at a time get lost. */
	readonly areSharesLost?: (now: number) => boolean;
	/** Number of gateways. */
	readonly gatewayCount?: number;
	/** Restart of all gateways at the same time, whose callers repeat what was not answered. The engines go on with what they have. */
	readonly restart?: Restart;
};

export type Restart = {
	readonly at: number;
	/** Time before the restart for which all gateways are down, in milliseconds; callers try again until they are back. */
	readonly downMs: number;
	/** Time from the restart until gateways receive reports of others, in milliseconds. */
	readonly silentMs: number;
	readonly isCautious: boolean;
};

/** Simulates 20 s of a load, and returns all requests. */
export function simulateLoad(
	load: Load,
	distribution: Distribution = even,
	{
		hasShares = new Set(load.map(([{workspace}]) => workspace)).size > 1,
		onShareDatagrams,
		areSharesLost = () => false,
		gatewayCount = 3,
		restart,
	}: SimulationOptions = {},
): Call[] {
	const byId = new Map(engines.map((id) => [id, new SimulatedEngine()]));
	const ranks = ranksOf(load.map(([kind]) => kind));
	let gateways: SimulatedGateway[] = [];
	const start = (coldStart: GatewayOptions['coldStart']) => {
		gateways = Array.from(
			{length: gatewayCount},
			(_, index) =>
				new SimulatedGateway(
					`g${index}`,
					(engine, call) => {
						byId.get(engine)!.accept(call);
					},
					(owner) => gateways[Number(owner.slice(1))]!.reservations,
					{hasShares, coldStart},
				),
		);
	};

	start(undefined);
	const calls: Call[] = [];
	const returns = new SimulatedReturns();
	const receive = (kind: Kind, request: CallerRequest, now: number) => {
		const gateway = gateways[distribution(kind, calls.length) % gatewayCount]!;
		const call = gateway.receive(kind, ranks.get(kind)!, request, now);
		calls.push(call);
		returns.watch(call);
	};

	for (let now = 0; now < 20_000; now++) {
		if (now === restart?.at) {
			start(
				restart.isCautious
					? {
							gateways: gatewayCount,
							startedAt: now,
							objectiveMs: Math.min(
								...load.map(([{objectiveMs}]) => objectiveMs),
							),
						}
					: undefined,
			);
			for (const call of calls.filter((call) => isUnanswered(call, now))) {
				returns.forget(call);
				receive(call.kind, call, now);
			}
		}

		const isDown = isBetween(now, restart, 'down');
		const isSilent = isDown || isBetween(now, restart, 'silent');
		for (const [kind, sizes] of load) {
			if (now % Math.round(1000 / kind.perSecond) === 0) {
				const origin = calls.length;
				const tokens = sizes[origin % sizes.length]!;
				receive(kind, {tokens, origin, deadlineAt: now + kind.timeoutMs}, now);
			}
		}

		for (const {kind, ...call} of returns.due(now)) {
			receive(kind, call, now);
		}

		for (const [index, gateway] of gateways.entries()) {
			if (
				!isSilent &&
				now % reportIntervalMs === (index * 20) % reportIntervalMs
			) {
				gateway.report(gateways, now);
			}

			if (
				!isSilent &&
				now % shareReportIntervalMs === (index * 20) % shareReportIntervalMs
			) {
				const datagrams = gateway.reportContention(
					gateways,
					now,
					areSharesLost(now),
				);
				onShareDatagrams?.(datagrams, now);
			}

			if (!isDown && now % 10 === index % 10) {
				gateway.dispatch(now);
			}
		}

		for (const engine of byId.values()) {
			engine.advance(now);
		}
	}

	return calls;
}

function isUnanswered(
	{firstAt, isRefused, deadlineAt}: Call,
	now: number,
): boolean {
	return firstAt === undefined && !isRefused && deadlineAt > now;
}

/** Whether gateways are down before the restart, or get no reports after it. */
function isBetween(
	now: number,
	restart: Restart | undefined,
	phase: 'down' | 'silent',
): boolean {
	if (!restart) {
		return false;
	}

	const {at, downMs, silentMs} = restart;
	return phase === 'down'
		? now >= at - downMs && now < at
		: now >= at && now < at + silentMs;
}

/** Ranks of kinds of requests under a configuration that has a route for each of them. */
function ranksOf(kinds: readonly Kind[]): Map<Kind, number> {
	const routes = kinds.map(({routeTier, objectiveMs, timeoutMs}, index) => ({
		name: `r${index}`,
		host: 'h',
		pathPrefix: `/${index}/`,
		targets: [{service: 's', weight: 1}],
		retryMode: 'once' as const,
		isStream: true,
		timeoutMs,
		objectiveMs,
		gapTargetMs: undefined,
		maxSends: 1,
		tier: routeTier,
		isPublic: false,
	}));
	const workspaces = kinds.map(({tier, routeTier}) => ({
		name: 'w',
		keys: [],
		tier: tier === routeTier ? undefined : tier,
	}));
	const ranks = new RequestRanks({
		version: 1,
		routes,
		services: [service],
		workspaces,
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	});
	return new Map(
		kinds.map((kind, index) => [
			kind,
			ranks.of(routes[index]!, workspaces[index], 's'),
		]),
	);
}
