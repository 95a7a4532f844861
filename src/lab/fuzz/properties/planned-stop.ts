import type {Property} from './property.js';

/** Invariant 7: a process that was asked to leave ends, and not before its work in progress is done. */
export const plannedStop: Property = {
	name: 'planned stop',
	violations: (history) =>
		history.leaves.flatMap((leave) => {
			if (leave.drainedAt === undefined) {
				return leave.killed ? [] : [`${leave.incarnation}: never drained`];
			}

			return leave.cut.map((work) => `${leave.incarnation}: cut ${work}`);
		}),
};
