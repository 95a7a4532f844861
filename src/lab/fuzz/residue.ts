/** Lists of a dump whose items must be gone once nothing is in progress. */
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

/** What a process still holds in memory, from its dump. */
export function residueOf(process: string, dump: unknown): string[] {
	if (typeof dump !== 'object' || dump === null) {
		return [];
	}

	return Object.entries(dump).flatMap(([key, value]) => {
		if (!transientLists.has(key)) {
			return key === 'scheduler'
				? residueOf(`${process} scheduler`, value)
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
