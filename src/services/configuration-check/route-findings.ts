import type {
	Configuration,
	Route,
	RouteTarget,
} from '../../interfaces/index.js';
import {minSendMs} from '../gateway/index.js';
import type {Finding} from './finding.js';

/** Findings on the routes: those that match no request, and limits that contradict each other. */
export function routeFindings(configuration: Configuration): Finding[] {
	const services = new Set(configuration.services.map(({name}) => name));
	return [
		...shadowedRoutes(configuration.routes),
		...configuration.routes.flatMap((route, index) => [
			...unmatchedRoute(route, index),
			...targetFindings(route, index, services),
			...timeFindings(route, index, configuration.limits.idleTimeoutMs),
			...retryFindings(route, index),
		]),
	];
}

/** Routes that another one with the same host and prefix replaces; the last one applies. */
function shadowedRoutes(routes: readonly Route[]): Finding[] {
	const lastIndexes = new Map<string, number>();
	for (const [index, route] of routes.entries()) {
		lastIndexes.set(matchOf(route), index);
	}

	return routes.flatMap((route, index) => {
		const last = lastIndexes.get(matchOf(route))!;
		return last === index
			? []
			: [
					{
						severity: 'error',
						path: {type: 'route', index, field: 'pathPrefix'},
						message: `never matches: route "${routes[last]!.name}" after it has the same host and path prefix`,
					} as const,
				];
	});
}

function matchOf({host, pathPrefix}: Route): string {
	return JSON.stringify([host.toLowerCase(), pathPrefix]);
}

function unmatchedRoute({host, pathPrefix}: Route, index: number): Finding[] {
	const findings: Finding[] = [];
	if (host === '' || host.includes(':')) {
		findings.push({
			severity: 'error',
			path: {type: 'route', index, field: 'host'},
			message: 'never matches: the host is empty or names a port',
		});
	}

	if (!/^\/(?:[^?#]*\/)?$/v.test(pathPrefix)) {
		findings.push({
			severity: 'error',
			path: {type: 'route', index, field: 'pathPrefix'},
			message:
				'never matches: the path prefix does not begin and end with a slash, or contains a query',
		});
	}

	return findings;
}

function targetFindings(
	{targets}: Route,
	index: number,
	services: ReadonlySet<string>,
): Finding[] {
	if (targets.length === 0) {
		return [
			{
				severity: 'error',
				path: {type: 'route', index, field: 'targets'},
				message: 'names no service, so its requests fail',
			},
		];
	}

	const total = targets.reduce((sum, {weight}) => sum + weight, 0);
	return targets.flatMap((found, target) =>
		oneTarget(found, {index, target}, {services, total}),
	);
}

function oneTarget(
	{service, weight}: RouteTarget,
	at: {readonly index: number; readonly target: number},
	{
		services,
		total,
	}: {readonly services: ReadonlySet<string>; readonly total: number},
): Finding[] {
	if (!services.has(service)) {
		return [
			{
				severity: 'error',
				path: {type: 'target', ...at, field: 'service'},
				message: `service "${service}" does not exist, so requests to it fail`,
			},
		];
	}

	if (weight > 0) {
		return [];
	}

	return [
		{
			severity: 'warning',
			path: {type: 'target', ...at, field: 'weight'},
			message:
				total > 0
					? 'gets no requests'
					: 'all weights are 0, so the last service gets all requests',
		},
	];
}

function timeFindings(
	{timeoutMs, objectiveMs, gapTargetMs, isStream}: Route,
	index: number,
	idleTimeoutMs: number,
): Finding[] {
	const findings: Finding[] = [];
	if (timeoutMs < minSendMs) {
		findings.push({
			severity: 'error',
			path: {type: 'route', index, field: 'timeoutMs'},
			message: `no request can be served in ${timeoutMs} ms`,
		});
	} else if (objectiveMs > timeoutMs) {
		findings.push({
			severity: 'warning',
			path: {type: 'route', index, field: 'objectiveMs'},
			message: `the latency target of ${objectiveMs} ms is longer than the timeout of ${timeoutMs} ms`,
		});
	}

	if (gapTargetMs === undefined) {
		return findings;
	}

	if (!isStream) {
		findings.push({
			severity: 'warning',
			path: {type: 'route', index, field: 'gapTargetMs'},
			message: 'has no effect: the route has no streams',
		});
	} else if (gapTargetMs > idleTimeoutMs) {
		findings.push({
			severity: 'warning',
			path: {type: 'route', index, field: 'gapTargetMs'},
			message: `the gap target of ${gapTargetMs} ms is longer than the idle limit of ${idleTimeoutMs} ms`,
		});
	}

	return findings;
}

function retryFindings(
	{maxSends, retryMode, objectiveMs, timeoutMs}: Route,
	index: number,
): Finding[] {
	if (maxSends === 1) {
		return [];
	}

	const path = {type: 'route', index, field: 'maxSends'} as const;
	if (retryMode === 'once') {
		return [
			{
				severity: 'warning',
				path,
				message: 'has no effect: requests of this route may run only once',
			},
		];
	}

	const left = timeoutMs - objectiveMs;
	return left >= 0 && left < minSendMs
		? [
				{
					severity: 'warning',
					path,
					message: `no time is left for a retry: the timeout ends ${left} ms after the latency target`,
				},
			]
		: [];
}
