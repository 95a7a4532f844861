import type {Schedule} from '../../interfaces/index.js';

/** Longest time by which a schedule may fire late, in milliseconds; covers outages of the table, and keeps a new endpoint from acting on old occurrences. */
export const maxLateMs = 12 * 3_600_000;
const minuteMs = 60_000;

/** Latest occurrence that is due at a wall-clock time, as ISO 8601; undefined when there is none. Earlier ones that were missed are skipped. */
export function dueOccurrence(
	schedule: Schedule,
	wallMs: number,
): string | undefined {
	const start = Date.parse(schedule.startsAt);
	const end = schedule.endsAt ? Date.parse(schedule.endsAt) : Infinity;
	const latest = Math.min(wallMs, end - 1);
	if (latest < start) {
		return undefined;
	}

	const periodMs = (schedule.everyMinutes ?? 0) * minuteMs;
	const at =
		periodMs === 0
			? start
			: start + Math.floor((latest - start) / periodMs) * periodMs;
	return wallMs - at > maxLateMs ? undefined : new Date(at).toISOString();
}

/** Row that is inserted before an endpoint acts on an occurrence. */
export function occurrenceKey(
	schedule: string,
	occurrence: string,
	endpoint: string,
): string {
	return `schedule/${schedule}/${occurrence}.${endpoint}`;
}
