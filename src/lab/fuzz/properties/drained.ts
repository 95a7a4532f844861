import type {Property} from './property.js';

/** Once nothing is in progress, no request, attempt or tombstone stays in memory; and no machine throws or requests a wake time that has passed. */
export const drained: Property = {
	name: 'drained',
	violations: ({retainedState, exceptions}) => [
		...retainedState,
		...exceptions,
	],
};
