import type {Property} from './property.js';

/**
 * Invariant 7 for plans whose only events are requests and planned stops: every
 * caller that stays, and does not repeat a request, gets its whole answer or a proved `not_run`, and no
 * execution is cut off except for a caller that left or reached its timeout.
 */
export const undisturbed: Property = {
	name: 'undisturbed',
	violations(history) {
		const requests = [...history.sent.values()];
		const told = requests
			.filter(
				(sent) =>
					!requests.some(
						(other) => other !== sent && other.identity === sent.identity,
					),
			)
			.flatMap((sent) =>
				sent.ends
					.filter(
						({outcome, code}) =>
							code !== 'timeout' &&
							(outcome === 'failed' || outcome === 'unknown'),
					)
					.map(
						({outcome, code}) => `${sent.id}: told ${outcome} (${code ?? ''})`,
					),
			);
		const lost = requests
			.filter(({lostAt}) => lostAt !== undefined)
			.map(({id}) => `${id}: lost its connection`);
		const cut = history.executed
			.filter(({end, request}) => {
				const sent = history.sent.get(request)!;
				return (
					end === 'cancelled' &&
					sent.goneAt === undefined &&
					!sent.ends.some(({code}) => code === 'timeout')
				);
			})
			.map(({request, endpoint}) => `${request}: cut off at ${endpoint}`);
		return [...told, ...lost, ...cut];
	},
};
