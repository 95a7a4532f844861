import type {EntryPath} from './finding.js';

/** Difference between the configuration in force and a later one. */
export type Difference = {
	/** Entry in the later configuration, or in the one in force where it is removed. */
	readonly path: EntryPath;
	readonly isRemoved: boolean;
	readonly message: string;
	/** What it means for requests in progress or those of present callers; undefined where it means nothing for them. */
	readonly effect: string | undefined;
};

/** What a new value of most fields means. */
export const inProgressEffect =
	'requests in progress end as they began; later ones get the new value';

/** The entries that apply, with their indexes: of several with the same key the last one. */
export function byKey<Entry>(
	entries: readonly Entry[],
	key: (entry: Entry) => string,
): Map<string, {readonly entry: Entry; readonly index: number}> {
	return new Map(
		entries.map((entry, index) => [key(entry), {entry, index}] as const),
	);
}

export function isEqual(a: unknown, b: unknown): boolean {
	return JSON.stringify(a) === JSON.stringify(b);
}

/** Value of a field for a message. */
export function show(value: unknown): string {
	return value === undefined ? 'nothing' : JSON.stringify(value);
}
