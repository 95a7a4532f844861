import type {Property} from './property.js';

/**
 * Invariant 7 for plans whose only events are requests and planned stops: every
 * caller that stays connected, and does not repeat a request, gets its whole
 * answer or a proven `not_run`, and no execution is cut off unless its caller
 * has disconnected or reached its timeout.
 */
export const undisturbed: Property = {
	name: 'undisturbed',
	violations(history) {
		const requests = [...history.sent.values()];
		const unexpectedOutcomes = requests
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
						({outcome, code}) => `${sent.id}: got ${outcome} (${code ?? ''})`,
					),
			);
		const lostConnections = requests
			.filter(({connectionLostAt}) => connectionLostAt !== undefined)
			.map(({id}) => `${id}: lost its connection`);
		const cutExecutions = history.executed
			.filter(({end, request}) => {
				const sent = history.sent.get(request)!;
				return (
					end === 'cancelled' &&
					sent.disconnectedAt === undefined &&
					!sent.ends.some(({code}) => code === 'timeout')
				);
			})
			.map(({request, endpoint}) => `${request}: cut off at ${endpoint}`);
		return [...unexpectedOutcomes, ...lostConnections, ...cutExecutions];
	},
};
