import {hash32} from '../../base/index.js';
import type {
	Configuration,
	Route,
	Service,
	KeyHolder,
} from '../../interfaces/index.js';
import {hasTightGap} from './engine-division.js';
import {EnginePriorities} from './engine-priorities.js';
import {RequestRanks} from './request-ranks.js';

/** Index for lookups in one version of the configuration, built once for each version. */
export class RoutingTable {
	/** Routes by host and path prefix. */
	readonly #routes = new Map<string, Map<string, Route>>();
	readonly #services = new Map<string, Service>();
	readonly #workspaces = new Map<string, KeyHolder>();
	readonly #priorities: EnginePriorities;
	readonly #ranks: RequestRanks;
	/** Routes whose streams need engines without long prompts, by service and route. */
	readonly #tightGaps = new Map<string, boolean>();

	constructor(readonly configuration: Configuration) {
		this.#priorities = new EnginePriorities(configuration);
		this.#ranks = new RequestRanks(configuration);
		for (const route of configuration.routes) {
			const host = route.host.toLowerCase();
			const prefixes = this.#routes.get(host) ?? new Map<string, Route>();
			prefixes.set(route.pathPrefix, route);
			this.#routes.set(host, prefixes);
		}

		for (const service of configuration.services) {
			this.#services.set(service.name, service);
		}

		for (const workspace of configuration.workspaces ?? []) {
			for (const key of workspace.keys) {
				this.#workspaces.set(key, workspace);
			}
		}
	}

	/** Whether a request on a route that is not public needs a key, also when no workspace is left to hold one. */
	get requiresKeys(): boolean {
		return this.configuration.workspaces !== undefined;
	}

	/** Route with the longest matching path prefix. The lookup time depends on the depth of the path, not on the number of routes. */
	route(host: string, target: string): Route | undefined {
		const prefixes = this.#routes.get(hostName(host));
		if (!prefixes) {
			return undefined;
		}

		const [path = ''] = target.split('?', 1);
		for (
			let end = path.lastIndexOf('/');
			end >= 0;
			end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
		) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}
		}

		return undefined;
	}

	workspace(key: string): KeyHolder | undefined {
		return this.#workspaces.get(key);
	}

	service(name: string): Service | undefined {
		return this.#services.get(name);
	}

	/** Priority that engines are told for a request, 0 first. */
	priority(route: Route, workspace: KeyHolder | undefined): number {
		return this.#priorities.of(route, workspace);
	}

	/** Rank in which a request to a service gets capacity, 0 first. */
	rank(
		route: Route,
		workspace: KeyHolder | undefined,
		service: Service,
	): number {
		return this.#ranks.of(route, workspace, service.name);
	}

	/** Whether the streams of a route to a service need engines without long prompts. */
	hasTightGap(route: Route, {name, engine}: Service): boolean {
		if (!engine || !route.isStream) {
			return false;
		}

		const key = JSON.stringify([name, route.name]);
		const known = this.#tightGaps.get(key);
		if (known !== undefined) {
			return known;
		}

		const others = this.configuration.routes.filter(
			({isStream, targets}) =>
				isStream && targets.some(({service}) => service === name),
		);
		const isTight = hasTightGap(route, others, engine.eventTokens);
		this.#tightGaps.set(key, isTight);
		return isTight;
	}

	/** Chooses the service for a request by the weights of its route; the same request id always gets the same service. */
	target(route: Route, requestId: string): Service | undefined {
		const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
		let point = (hash32(requestId) / 2 ** 32) * total;
		for (const {service, weight} of route.targets) {
			point -= weight;
			if (point < 0) {
				return this.service(service);
			}
		}

		const last = route.targets.at(-1);
		return last && this.service(last.service);
	}
}

function hostName(host: string): string {
	const [name = ''] = host.split(':', 1);
	return name.toLowerCase();
}
