import type {Property} from './property.js';

/** Once nothing is in progress, no request, attempt or tombstone stays in memory, and no machine throws or asks for wakes that have passed. */
export const drained: Property = {
	name: 'drained',
	violations: ({residue, exceptions}) => [...residue, ...exceptions],
};
