import type {Property} from './property.js';

/** Invariant 7: a process that is asked to leave drains, and reports so only when its work in progress is done. */
export const plannedStop: Property = {
	name: 'planned stop',
	violations: (history) =>
		history.leaves.flatMap((leave) => {
			if (leave.drainedAt === undefined) {
				return leave.isKilled ? [] : [`${leave.incarnation}: never drained`];
			}

			return leave.cut.map((work) => `${leave.incarnation}: cut off ${work}`);
		}),
};
