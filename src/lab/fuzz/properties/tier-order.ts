import type {Property} from './property.js';

/** Time after which a sent request is in the sidecar's queue, in milliseconds; longer than the slowest transport of a plan without faults. */
const maxArrivalMs = 1500;

/**
 * Invariant 1, for plans with one endpoint, no faults, no guaranteed shares, and
 * targets that hold under any backlog: while a request of a higher tier waits,
 * none of a lower tier starts, and a request of a higher tier is not shed while
 * a queued one of a lower tier runs later.
 */
export const tierOrder: Property = {
	name: 'tier order',
	violations(history) {
		const startOf = new Map(
			history.executed.map(({request, at}) => [request, at]),
		);
		const requests = [...history.sent.values()].map((sent) => ({
			...sent,
			startedAt: startOf.get(sent.id) ?? Number.POSITIVE_INFINITY,
			shedAt:
				sent.ends.find(({outcome}) => outcome === 'not_run')?.at ??
				Number.POSITIVE_INFINITY,
		}));
		return requests.flatMap((low) =>
			requests
				.filter((high) => high.tier < low.tier)
				.flatMap((high) => {
					const isPassedOver =
						high.at + maxArrivalMs < low.startedAt &&
						low.startedAt < Math.min(high.startedAt, high.shedAt) &&
						high.disconnectedAt === undefined;
					const isShed =
						low.at + maxArrivalMs < high.shedAt &&
						high.shedAt < low.startedAt &&
						low.startedAt !== Number.POSITIVE_INFINITY &&
						high.ends[0]?.code !== 'timeout';
					return isPassedOver || isShed
						? [
								`${high.id} of tier ${high.tier} sent at ${high.at.toFixed(0)} was ${isShed ? 'shed' : 'passed over'} while ${low.id} of tier ${low.tier} started at ${low.startedAt.toFixed(0)}`,
							]
						: [];
				}),
		);
	},
};
