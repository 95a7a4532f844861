import type {History} from '../history.js';

/** A statement about every run: returns one text for each violation, none when it holds. */
export type Property = {
	readonly name: string;
	readonly violations: (history: History) => string[];
};
