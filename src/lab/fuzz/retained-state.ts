/** Keys of a dump that must be empty or zero once nothing is in progress. */
const transientLists = new Set([
	'requests',
	'attempts',
	'tombstones',
	'claims',
	'detached',
	'pending',
	'past',
	'tableWork',
	'watches',
	'queries',
	'queued',
	'running',
]);

/** Lists the state of requests that a process still holds, from its dump. */
export function findRetainedState(process: string, dump: unknown): string[] {
	if (typeof dump !== 'object' || dump === null) {
		return [];
	}

	return Object.entries(dump).flatMap(([key, value]) => {
		if (!transientLists.has(key)) {
			return key === 'scheduler'
				? findRetainedState(`${process} scheduler`, value)
				: [];
		}

		const size = sizeOf(value);
		return size === 0
			? []
			: [`${process} holds ${size} ${key}: ${JSON.stringify(value)}`];
	});
}

function sizeOf(value: unknown): number {
	if (Array.isArray(value)) {
		return value.length;
	}

	if (typeof value === 'number') {
		return value;
	}

	return typeof value === 'object' && value !== null
		? Object.keys(value).length
		: 0;
}
