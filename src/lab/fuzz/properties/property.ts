import type {History} from '../history.js';

/** A condition that must hold for every run; `violations` returns one text for each violation. */
export type Property = {
	readonly name: string;
	readonly violations: (history: History) => string[];
};
