import {test} from 'node:test';
import {expect} from 'earl';
import type {Configuration, Route} from '../../interfaces/ports/index.js';
import {EnginePriorities} from './engine-priorities.js';

const route: Route = {
	name: 'r',
	host: 'h',
	pathPrefix: '/',
	targets: [],
	retryMode: 'once',
	isStream: true,
	timeoutMs: 1000,
	objectiveMs: 100,
	gapTargetMs: undefined,
	maxSends: 1,
	tier: 0,
	isPublic: false,
};

/** Priorities of all combinations of route and workspace, ordered by workspace. */
function priorities(
	routeTiers: readonly number[],
	workspaceTiers: ReadonlyArray<number | undefined>,
): number[][] {
	const routes = routeTiers.map((tier) => ({...route, tier}));
	const workspaces = workspaceTiers.map((tier) => ({
		name: 'w',
		keys: [],
		tier,
	}));
	const configuration: Configuration = {
		version: 1,
		routes,
		services: [],
		workspaces,
		limits: {
			maxHeaderBytes: 1,
			maxBodyBytes: 1,
			headerTimeoutMs: 1,
			idleTimeoutMs: 1,
		},
	};
	const table = new EnginePriorities(configuration);
	return workspaces.map((workspace) =>
		routes.map((item) => table.of(item, workspace)),
	);
}

// Guards against engines that preempt a short urgent answer while a long one of the same workspace runs on.
test('the tier of the route decides among requests of workspaces with the same tier', () => {
	expect(priorities([0, 1, 2], [1, 1])).toEqual([
		[1, 2, 3],
		[1, 2, 3],
	]);
});

// Guards against a route that goes before the tier of the workspace.
test('the tier of the workspace goes before that of the route', () => {
	expect(priorities([0, 2], [1, 0])).toEqual([
		[2, 3],
		[0, 1],
	]);
});

// Guards against a workspace without a tier that is more or less urgent than its routes.
test('a workspace without a tier has that of the route', () => {
	expect(priorities([0, 1, 2], [undefined])).toEqual([[0, 1, 2]]);
});

// Guards against priorities beyond those that engines know, which would all be equal.
test('many tiers are merged in order', () => {
	const [first = [], last = []] = priorities([0, 1, 2, 3, 4, 5], [0, 3]);
	const all = [...first, ...last];
	expect(all).toEqual(all.toSorted((a, b) => a - b));
	expect([all[0], new Set(all).size > 5, Math.max(...all) < 10]).toEqual([
		0,
		true,
		true,
	]);
});
