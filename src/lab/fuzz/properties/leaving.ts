import type {History, Leave} from '../history.js';
import type {Property} from './property.js';

/** Time after which a leaving endpoint starts no new work, in milliseconds in which its sidecar was running. */
const leaveGraceMs = 2000;

/** Invariant 6: a leaving endpoint starts no new work after 2 s in which its sidecar was running. */
export const leavingStartsNothing: Property = {
	name: 'leaving starts nothing',
	violations: (history) =>
		history.leaves.flatMap((leave) => {
			const until = leave.drainedAt ?? exitTime(history, leave);
			return history.executed
				.filter(
					({endpoint, at}) =>
						endpoint === leave.process &&
						at <= until &&
						at - leave.at - history.pausedWithin(leave.process, leave.at, at) >
							leaveGraceMs,
				)
				.map(
					({request, at}) =>
						`${leave.incarnation}: began to leave at ${leave.at.toFixed(1)}, started ${request} at ${at.toFixed(1)}`,
				);
		}),
};

function exitTime(history: History, leave: Leave): number {
	return history.exitTimes.get(leave.incarnation) ?? Number.POSITIVE_INFINITY;
}
