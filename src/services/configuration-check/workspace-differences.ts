import type {Configuration} from '../../interfaces/index.js';
import {byKey, inProgressEffect, show, type Difference} from './difference.js';

/** Workspaces and keys that are added, removed or changed; no key is quoted. */
export function workspaceDifferences(
	{workspaces: before}: Configuration,
	{workspaces: after}: Configuration,
): Difference[] {
	if (Boolean(before) !== Boolean(after)) {
		return [
			{
				path: {type: 'configuration', field: 'workspaces'},
				isRemoved: !after,
				message: after ? 'keys are checked' : 'keys are no longer checked',
				effect: after
					? 'callers without a key get 401 on routes that are not public'
					: 'every caller is admitted to all routes',
			},
		];
	}

	return [
		...removedWorkspaces(before ?? [], after ?? []),
		...removedKeys(before ?? [], after ?? []),
		...changedWorkspaces(before ?? [], after ?? []),
	];
}

type Workspaces = NonNullable<Configuration['workspaces']>;

/** Workspace of each key. */
function keyOwners(workspaces: Workspaces): Map<string, string> {
	return new Map(
		workspaces.flatMap(({name, keys}) =>
			keys.map((key) => [key, name] as const),
		),
	);
}

/** The effects are those of their keys, which are listed one by one. */
function removedWorkspaces(
	before: Workspaces,
	after: Workspaces,
): Difference[] {
	const left = new Set(after.map(({name}) => name));
	return before.flatMap(({name}, index): Difference[] =>
		left.has(name)
			? []
			: [
					{
						path: {type: 'workspace', index, field: 'name'},
						isRemoved: true,
						message: `workspace "${name}" is removed`,
						effect: undefined,
					},
				],
	);
}

function removedKeys(before: Workspaces, after: Workspaces): Difference[] {
	const owners = keyOwners(after);
	return before.flatMap(({name, keys}, index) =>
		keys.flatMap((key, keyIndex): Difference[] => {
			const owner = owners.get(key);
			if (owner === name) {
				return [];
			}

			const path = {type: 'key', index, key: keyIndex} as const;
			return owner === undefined
				? [
						{
							path,
							isRemoved: true,
							message: `a key of workspace "${name}" is removed`,
							effect:
								'requests in progress are finished; later ones with it get 401',
						},
					]
				: [
						{
							path,
							isRemoved: true,
							message: `a key of workspace "${name}" moves to "${owner}"`,
							effect: 'later requests with it belong to the other workspace',
						},
					];
		}),
	);
}

function changedWorkspaces(
	before: Workspaces,
	after: Workspaces,
): Difference[] {
	const old = byKey(before, ({name}) => name);
	const oldKeys = keyOwners(before);
	return after.flatMap((workspace, index): Difference[] => {
		const {name, tier, keys} = workspace;
		const known = old.get(name)?.entry;
		if (!known) {
			return [
				{
					path: {type: 'workspace', index, field: 'name'},
					isRemoved: false,
					message: `workspace "${name}" is added`,
					effect: undefined,
				},
			];
		}

		const added = keys.filter((key) => !oldKeys.has(key)).length;
		const found: Difference[] = [];
		if (added > 0) {
			found.push({
				path: {type: 'workspace', index, field: 'keys'},
				isRemoved: false,
				message: `${added} keys of workspace "${name}" are added`,
				effect: undefined,
			});
		}

		if (known.tier !== tier) {
			found.push({
				path: {type: 'workspace', index, field: 'tier'},
				isRemoved: false,
				message: `${show(known.tier)} becomes ${show(tier)}`,
				effect: inProgressEffect,
			});
		}

		return found;
	});
}
