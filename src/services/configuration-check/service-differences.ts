import type {Configuration, Service} from '../../interfaces/index.js';
import {byKey, isEqual, show, type Difference} from './difference.js';

/** Services that are added, removed or changed. */
export function serviceDifferences(
	{services: before}: Configuration,
	{services: after}: Configuration,
): Difference[] {
	const old = byKey(before, ({name}) => name);
	const current = byKey(after, ({name}) => name);
	const changed = [...current].flatMap(
		([name, {entry, index}]): Difference[] => {
			const known = old.get(name);
			return known
				? changedServiceFields(known.entry, entry, index)
				: [
						{
							path: {type: 'service', index, field: 'name'},
							isRemoved: false,
							message: `service "${name}" is added`,
							effect: undefined,
						},
					];
		},
	);
	const removed = [...old].flatMap(([name, {index}]): Difference[] =>
		current.has(name)
			? []
			: [
					{
						path: {type: 'service', index, field: 'name'},
						isRemoved: true,
						message: `service "${name}" is removed`,
						effect:
							'requests in progress end as they began; later ones cannot be sent to it',
					},
				],
	);
	return [...changed, ...removed];
}

function changedServiceFields(
	before: Service,
	after: Service,
	index: number,
): Difference[] {
	const found: Difference[] = [];
	if (before.maxConnections !== after.maxConnections) {
		found.push({
			path: {type: 'service', index, field: 'maxConnections'},
			isRemoved: false,
			message: `${before.maxConnections} becomes ${after.maxConnections}`,
			effect: 'applies to servers that are listed from then on',
		});
	}

	if (!isEqual(before.engine, after.engine)) {
		found.push({
			path: {type: 'engine', index, field: 'slots'},
			isRemoved: false,
			message: `${show(before.engine)} becomes ${show(after.engine)}`,
			effect:
				'applies to later requests, and in part only to engines that are listed from then on',
		});
	}

	if (!isEqual(before.scaling, after.scaling)) {
		found.push({
			path: {type: 'service', index, field: 'scaling'},
			isRemoved: false,
			message: `${show(before.scaling)} becomes ${show(after.scaling)}`,
			effect: scalingEffect(before, after),
		});
	}

	return found;
}

function scalingEffect(before: Service, after: Service): string | undefined {
	const isLowered =
		before.scaling &&
		after.scaling &&
		after.scaling.maxServers < before.scaling.maxServers;
	return isLowered
		? 'servers beyond the lower maximum drain; requests in progress there are finished'
		: undefined;
}
