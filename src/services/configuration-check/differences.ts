import type {
	CallerLimits,
	Configuration,
	Route,
} from '../../interfaces/index.js';
import {
	byKey,
	inProgressEffect,
	isEqual,
	show,
	type Difference,
} from './difference.js';
import {serviceDifferences} from './service-differences.js';
import {workspaceDifferences} from './workspace-differences.js';

/** Lists what differs from the configuration in force, in the order of the entries. */
export function differences(
	inForce: Configuration,
	next: Configuration,
): Difference[] {
	return [
		...versionDifference(inForce, next),
		...routeDifferences(inForce, next),
		...serviceDifferences(inForce, next),
		...workspaceDifferences(inForce, next),
		...limitDifferences(inForce.limits, next.limits),
	];
}

function versionDifference(
	{version: before}: Configuration,
	{version: after}: Configuration,
): Difference[] {
	return after > before
		? []
		: [
				{
					path: {type: 'configuration', field: 'version'},
					isRemoved: false,
					message: `version ${after} is not higher than ${before}, which is in force`,
					effect: 'gateways ignore the whole configuration',
				},
			];
}

function matchOf({host, pathPrefix}: Route): string {
	return JSON.stringify([host.toLowerCase(), pathPrefix]);
}

function routeDifferences(
	{routes: before}: Configuration,
	{routes: after}: Configuration,
): Difference[] {
	const old = byKey(before, matchOf);
	const current = byKey(after, matchOf);
	const changed = [...current].flatMap(([match, {entry, index}]) => {
		const known = old.get(match);
		return known
			? changedFields(known.entry, entry, index)
			: [
					{
						path: {type: 'route', index, field: 'name'} as const,
						isRemoved: false,
						message: `route "${entry.name}" is added`,
						effect: addedEffect(entry, old),
					},
				];
	});
	const removed = [...old].flatMap(([match, {entry, index}]): Difference[] =>
		current.has(match)
			? []
			: [
					{
						path: {type: 'route', index, field: 'name'},
						isRemoved: true,
						message: `route "${entry.name}" is removed`,
						effect:
							'requests in progress end as they began; later ones get 404 or match a shorter prefix',
					},
				],
	);
	return [...changed, ...removed];
}

/** A new route takes over requests when its prefix continues one in force. */
function addedEffect(
	{host, pathPrefix}: Route,
	old: ReturnType<typeof byKey<Route>>,
): string | undefined {
	const shorter = [...old.values()]
		.map(({entry}) => entry)
		.filter(
			(route) =>
				route.host.toLowerCase() === host.toLowerCase() &&
				pathPrefix.startsWith(route.pathPrefix),
		)
		.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length)
		.at(0);
	return (
		shorter &&
		`takes over requests of route "${shorter.name}"; those in progress end as they began`
	);
}

/** Fields of a route, without host and prefix, which identify it. */
const routeFields = [
	'name',
	'targets',
	'retryMode',
	'isStream',
	'timeoutMs',
	'objectiveMs',
	'gapTargetMs',
	'maxSends',
	'tier',
	'isPublic',
] as const satisfies ReadonlyArray<keyof Route>;

function changedFields(
	before: Route,
	after: Route,
	index: number,
): Difference[] {
	return routeFields
		.filter((field) => !isEqual(before[field], after[field]))
		.map((field) => ({
			path: {type: 'route', index, field},
			isRemoved: false,
			message: `${show(before[field])} becomes ${show(after[field])}`,
			effect: routeEffect(field, before, after),
		}));
}

function routeEffect(
	field: (typeof routeFields)[number],
	before: Route,
	after: Route,
): string | undefined {
	switch (field) {
		case 'targets': {
			return 'later requests move to the new services; those in progress, and their retries, stay with the old one';
		}

		case 'timeoutMs': {
			return after.timeoutMs < before.timeoutMs
				? 'the timeout is lowered: requests in progress keep the old one, later ones may end sooner'
				: undefined;
		}

		case 'isPublic': {
			return after.isPublic
				? undefined
				: 'callers without a key get 401 from then on';
		}

		case 'retryMode':
		case 'isStream':
		case 'maxSends':
		case 'objectiveMs':
		case 'gapTargetMs':
		case 'tier': {
			return inProgressEffect;
		}

		case 'name': {
			return undefined;
		}
	}
}

const limitFields = [
	'maxHeaderBytes',
	'maxBodyBytes',
	'headerTimeoutMs',
	'idleTimeoutMs',
] as const satisfies ReadonlyArray<keyof CallerLimits>;

function limitDifferences(
	before: CallerLimits,
	after: CallerLimits,
): Difference[] {
	return limitFields
		.filter((field) => before[field] !== after[field])
		.map((field) => ({
			path: {type: 'limit', field},
			isRemoved: false,
			message: `${before[field]} becomes ${after[field]}`,
			effect:
				after[field] < before[field] ? loweredLimitEffects[field] : undefined,
		}));
}

const loweredLimitEffects: Readonly<Record<keyof CallerLimits, string>> = {
	maxHeaderBytes: 'later requests with larger heads may be refused',
	maxBodyBytes: 'later requests with larger bodies get 413',
	headerTimeoutMs: 'callers that send their heads slowly may be refused',
	idleTimeoutMs:
		'open connections keep the old idle limit until their next request',
};
