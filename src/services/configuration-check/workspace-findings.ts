import type {Configuration, KeyHolder} from '../../interfaces/index.js';
import type {Finding} from './finding.js';

/** Findings on the workspaces: those that no request can belong to, and keys that belong to several. */
export function workspaceFindings({
	workspaces,
	routes,
}: Configuration): Finding[] {
	if (!workspaces) {
		return [];
	}

	const areKeysRequired =
		routes.length > 0 && routes.every(({isPublic}) => !isPublic);
	return [
		...withoutAnyKey(
			workspaces,
			routes.some(({isPublic}) => !isPublic),
		),
		...duplicateNames(workspaces),
		...sharedKeys(workspaces),
		...workspaces.flatMap(({keys}, index): Finding[] =>
			areKeysRequired && keys.length === 0
				? [
						{
							severity: 'warning',
							path: {type: 'workspace', index, field: 'keys'},
							message:
								'has no key, and all routes require one, so no request can belong to it',
						},
					]
				: [],
		),
	];
}

function withoutAnyKey(
	workspaces: readonly KeyHolder[],
	isKeyRequired: boolean,
): Finding[] {
	return isKeyRequired && workspaces.length === 0
		? [
				{
					severity: 'warning',
					path: {type: 'configuration', field: 'workspaces'},
					message:
						'no workspace is left, so requests on routes that require a key are refused',
				},
			]
		: [];
}

function duplicateNames(workspaces: readonly KeyHolder[]): Finding[] {
	const seen = new Set<string>();
	return workspaces.flatMap(({name}, index): Finding[] => {
		const isDuplicate = seen.has(name);
		seen.add(name);
		return isDuplicate
			? [
					{
						severity: 'warning',
						path: {type: 'workspace', index, field: 'name'},
						message: `another workspace has the name "${name}"`,
					},
				]
			: [];
	});
}

/** Keys that a workspace after them has as well; the last one applies. */
function sharedKeys(workspaces: readonly KeyHolder[]): Finding[] {
	const lastIndexes = new Map<string, number>();
	for (const [index, {keys}] of workspaces.entries()) {
		for (const key of keys) {
			lastIndexes.set(key, index);
		}
	}

	return workspaces.flatMap(({keys}, index) =>
		keys.flatMap((key, keyIndex): Finding[] => {
			const last = lastIndexes.get(key)!;
			return last === index
				? []
				: [
						{
							severity: 'error',
							path: {type: 'key', index, key: keyIndex},
							message: `belongs to workspace "${workspaces[last]!.name}" as well, which alone gets its requests`,
						},
					];
		}),
	);
}
