import loglevel from 'loglevel';

/** Writes one line for a change of state, as key=value pairs. */
export function logEvent(
	event: string,
	fields: Readonly<Record<string, string | number>>,
): void {
	const pairs = Object.entries(fields).map(
		([key, value]) => `${key}=${JSON.stringify(value)}`,
	);
	loglevel.info(
		[`time=${new Date().toISOString()}`, `event=${event}`, ...pairs].join(' '),
	);
}
