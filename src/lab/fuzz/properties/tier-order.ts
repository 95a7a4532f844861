import type {Property} from './property.js';

/** Time between sending a request and its place in the sidecar's queue, in milliseconds; longer than the slowest transport of a plan without faults. */
const arrivalMs = 1500;

/**
 * Invariant 1, for plans with one endpoint, no faults, targets that no backlog
 * misses and no guaranteed shares: while a higher tier waits, no lower tier
 * starts, and a higher tier is not shed while a lower one that is queued runs
 * later.
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
					const passedOver =
						high.at + arrivalMs < low.startedAt &&
						low.startedAt < Math.min(high.startedAt, high.shedAt) &&
						high.goneAt === undefined;
					const shed =
						low.at + arrivalMs < high.shedAt &&
						high.shedAt < low.startedAt &&
						low.startedAt !== Number.POSITIVE_INFINITY &&
						high.ends[0]?.code !== 'timeout';
					return passedOver || shed
						? [
								`${high.id} of tier ${high.tier} sent at ${high.at.toFixed(0)} was ${shed ? 'shed' : 'passed over'} while ${low.id} of tier ${low.tier} started at ${low.startedAt.toFixed(0)}`,
							]
						: [];
				}),
		);
	},
};
