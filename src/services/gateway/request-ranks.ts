import type {
	Configuration,
	KeyHolder,
	Route,
} from '../../interfaces/ports/index.js';

/** Multiple of the tightest latency target among routes at least as urgent above which the target of a route counts as loose: its requests can wait while others are served. */
const looseFactor = 3;

/** Added to the rank of a request with a loose target; less than 1, so that it still goes before all requests of the next lower tier. */
const looseRankOffset = 0.5;

/** Upper bound of what the tier of its route adds to the rank of a request. A small difference lets urgent requests take the capacity that becomes free; a larger one would leave capacity unused when there are none. */
const maxRouteRankOffset = 0.25;

/** Properties of a route that decide its rank among others. */
type RankedRoute = Pick<Route, 'tier' | 'objectiveMs'>;

/**
 * Ranks in which requests get capacity, for one version of the configuration.
 * The tier of the workspace goes first, and the tier of the route decides
 * within it. All gateways with the same configuration rank a request alike,
 * whatever requests they receive themselves. Needed because the gateway that
 * owns an engine compares the ranks of requests of all gateways.
 */
export class RequestRanks {
	readonly #configuration: Configuration;
	readonly #workspaceTiers: ReadonlySet<number | undefined>;
	/** Ranks by service, tier, tier of the route and latency target. */
	readonly #ranks = new Map<string, number>();

	constructor(configuration: Configuration) {
		this.#configuration = configuration;
		this.#workspaceTiers = new Set(
			configuration.workspaces?.map(({tier}) => tier),
		);
	}

	/** Rank of a request to a service, 0 first: its tier, and a fraction that is larger for less urgent routes and for loose latency targets. */
	of(route: Route, workspace: KeyHolder | undefined, service: string): number {
		const tier = workspace?.tier ?? route.tier;
		const key = JSON.stringify([service, tier, route.tier, route.objectiveMs]);
		const rank =
			this.#ranks.get(key) ??
			tier + rankOffset(route, this.#routesInTier(tier, service));
		this.#ranks.set(key, rank);
		return rank;
	}

	/** Routes to a service whose requests can have a tier. */
	#routesInTier(tier: number, service: string): Route[] {
		return this.#configuration.routes.filter(
			(route) =>
				(route.tier === tier || this.#workspaceTiers.has(tier)) &&
				route.targets.some((target) => target.service === service),
		);
	}
}

/** What the tier and the latency target of a route add to the rank, less than 1. A route behind one with a loose target counts as loose as well, so that the order of the routes is kept. */
function rankOffset(
	route: RankedRoute,
	inTier: readonly RankedRoute[],
): number {
	const moreUrgent = inTier.filter(({tier}) => tier < route.tier);
	const isLoose = [...moreUrgent, route].some((waiting) =>
		inTier.some(
			({tier, objectiveMs}) =>
				tier <= waiting.tier && objectiveMs * looseFactor < waiting.objectiveMs,
		),
	);
	const positions = new Set(moreUrgent.map(({tier}) => tier)).size;
	return (
		(isLoose ? looseRankOffset : 0) +
		(maxRouteRankOffset * positions) / (positions + 1)
	);
}
