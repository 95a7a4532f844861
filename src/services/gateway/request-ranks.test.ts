import {test} from 'node:test';
import {expect} from 'earl';
import type {Route} from '../../interfaces/ports/index.js';
import {RequestRanks} from './request-ranks.js';

type RouteProperties = Pick<Route, 'tier' | 'objectiveMs'>;

/** Ranks of the requests on each route to a service, of callers of one workspace. Another service has a more urgent route, and another workspace the tier 0. */
function ranks(
	routeProperties: readonly RouteProperties[],
	workspaceTier: number | undefined,
): number[] {
	const routes = [{tier: -1, objectiveMs: 1}, ...routeProperties].map(
		(properties, index): Route => ({
			name: `r${index}`,
			host: 'h',
			pathPrefix: '/',
			targets: [{service: index === 0 ? 'other' : 's', weight: 1}],
			retryMode: 'once',
			isStream: true,
			timeoutMs: 1000,
			gapTargetMs: undefined,
			maxSends: 1,
			isPublic: false,
			...properties,
		}),
	);
	const workspace = {name: 'w', keys: [], tier: workspaceTier};
	const table = new RequestRanks({
		version: 1,
		routes,
		services: [],
		workspaces: [workspace, {...workspace, tier: 0}],
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	});
	return routes.slice(1).map((route) => table.of(route, workspace, 's'));
}

function expectAscending(values: readonly number[]): void {
	expect(values).toEqual([...new Set(values)].toSorted((a, b) => a - b));
}

// Guards against drafts that rank as chats at a gateway which gets almost no chats: the ranks of all gateways are compared by the owner of an engine.
test('requests rank by the tier of their routes, whatever a gateway receives', () => {
	const routes = [0, 1, 2].map((tier) => ({tier, objectiveMs: 1000}));
	const all = ranks(routes, 1);
	expectAscending(all);
	expect(all[0]).toEqual(1);
	expect(all[2]! < 2).toEqual(true);
});

// Guards against a route that goes before the tier of the workspace.
test('the tier of the workspace goes before that of the route', () => {
	const routes = [
		{tier: 0, objectiveMs: 300},
		{tier: 2, objectiveMs: 9000},
	];
	expectAscending([...ranks(routes, 0), ...ranks(routes, 1)]);
});

// Guards against a workspace without a tier that is more or less urgent than its routes.
test('a workspace without a tier has that of the route', () => {
	const routes = [0, 1, 2].map((tier) => ({tier, objectiveMs: 1000}));
	expect(ranks(routes.slice(1), undefined)).toEqual([1, 2]);
});

// Guards against short notes that are refused after 500 ms while long drafts of the same tier, which can wait for seconds, take all capacity.
test('a request that can wait ranks behind others of its tier and before the next tier', () => {
	const slow = {tier: 1, objectiveMs: 2500};
	const note = {tier: 1, objectiveMs: 500};
	expect(ranks([slow], 1)).toEqual([1]);
	expect(ranks([note, slow], 1)).toEqual([1, 1.5]);
	expect(ranks([note, slow], undefined)).toEqual([1, 1.5]);
	expect(ranks([{tier: 0, objectiveMs: 2500}, note], undefined)).toEqual([
		0, 1,
	]);
});

// Guards against an urgent route with a loose target that ranks behind a less urgent one with a tight target.
test('a loose target does not put a request behind a less urgent route', () => {
	expectAscending(
		ranks(
			[
				{tier: 0, objectiveMs: 2500},
				{tier: 1, objectiveMs: 300},
			],
			1,
		),
	);
	expectAscending(
		ranks(
			[
				{tier: 0, objectiveMs: 300},
				{tier: 1, objectiveMs: 5000},
				{tier: 2, objectiveMs: 500},
			],
			1,
		),
	);
});
