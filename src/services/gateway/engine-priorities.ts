import type {
	Configuration,
	KeyHolder,
	Route,
} from '../../interfaces/ports/index.js';

/** Number of priorities that engines tell apart. */
const maxPriorities = 10;

/** Tiers that decide how urgent a request is, in this order. */
type Tiers = {
	/** Tier of the workspace, or of the route if the workspace has none. */
	readonly tier: number;
	readonly routeTier: number;
};

/**
 * Priorities that engines are told, for one version of the configuration. The
 * tier of the workspace goes first, and the tier of the route decides within it.
 * Needed when engines run out of memory: they preempt the newest of the least
 * urgent answers, which must not be a short urgent one while long ones run on.
 */
export class EnginePriorities {
	readonly #positions = new Map<string, number>();

	constructor({routes, workspaces}: Configuration) {
		const known = new Map<string, Tiers>();
		const workspaceTiers = new Set(workspaces?.map(({tier}) => tier));
		const routeTiers = new Set(routes.map(({tier}) => tier));
		for (const routeTier of routeTiers) {
			for (const tier of [undefined, ...workspaceTiers]) {
				const tiers = {tier: tier ?? routeTier, routeTier};
				known.set(keyOf(tiers), tiers);
			}
		}

		const ordered = [...known.values()].toSorted(
			(a, b) => a.tier - b.tier || a.routeTier - b.routeTier,
		);
		for (const [position, tiers] of ordered.entries()) {
			this.#positions.set(keyOf(tiers), position);
		}
	}

	/** Priority of a request, 0 first. Neighbouring ones are merged when the configuration has more than engines tell apart. */
	of(route: Route, workspace: KeyHolder | undefined): number {
		const tiers = {
			tier: workspace?.tier ?? route.tier,
			routeTier: route.tier,
		};
		const position = this.#positions.get(keyOf(tiers)) ?? 0;
		const count = this.#positions.size;
		return count > maxPriorities
			? Math.floor((position * maxPriorities) / count)
			: position;
	}
}

function keyOf({tier, routeTier}: Tiers): string {
	return `${tier}/${routeTier}`;
}
