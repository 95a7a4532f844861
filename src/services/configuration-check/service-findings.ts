import type {
	Configuration,
	EngineLimits,
	Service,
} from '../../interfaces/index.js';
import type {Finding} from './finding.js';

/** Findings on the services: those that get no requests or can serve none. */
export function serviceFindings({services, routes}: Configuration): Finding[] {
	const named = new Set(
		routes.flatMap(({targets}) => targets.map(({service}) => service)),
	);
	const lastIndexes = new Map(services.map(({name}, index) => [name, index]));
	return services.flatMap((service, index): Finding[] => {
		const path = {type: 'service', index, field: 'name'} as const;
		if (lastIndexes.get(service.name) !== index) {
			return [
				{
					severity: 'error',
					path,
					message: 'has no effect: a service after it has the same name',
				},
			];
		}

		if (!named.has(service.name)) {
			return [
				{
					severity: 'warning',
					path,
					message: 'gets no requests: no route names it',
				},
			];
		}

		return capacityFindings(service, index);
	});
}

function capacityFindings(
	{maxConnections, engine, scaling}: Service,
	index: number,
): Finding[] {
	const findings: Finding[] = [];
	if (maxConnections < 1) {
		findings.push({
			severity: 'error',
			path: {type: 'service', index, field: 'maxConnections'},
			message: 'no connection is allowed, so no request can be served',
		});
	}

	if (scaling?.maxServers === 0) {
		findings.push({
			severity: 'warning',
			path: {type: 'service', index, field: 'scaling'},
			message: 'no server may be ordered',
		});
	}

	return engine ? [...findings, ...engineFindings(engine, index)] : findings;
}

function engineFindings(engine: EngineLimits, index: number): Finding[] {
	return (['slots', 'kvTokens'] as const)
		.filter((field) => engine[field] < 1)
		.map((field) => ({
			severity: 'error',
			path: {type: 'engine', index, field},
			message: 'the engine can hold no request',
		}));
}
