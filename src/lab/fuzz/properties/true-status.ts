import type {StatusQuery, History} from '../history.js';
import type {Property} from './property.js';

/** Maximum time until a query is answered, in milliseconds in which the entry was running: the entry's wait for the sidecars and the caller's round trip. */
const statusBoundMs = 506;

/** A query for the status of a request gets exactly one answer, in time, which does not contradict what was executed. */
export const trueStatus: Property = {
	name: 'true status',
	violations: (history) =>
		[...history.statusQueries.values()].flatMap((query) => {
			const violation = statusViolation(history, query);
			return violation
				? [`${query.id} for ${query.sent.id}: ${violation}`]
				: [];
		}),
};

function statusViolation(
	history: History,
	query: StatusQuery,
): string | undefined {
	const [answer, ...more] = query.answers;
	if (!answer) {
		return query.connectionLostAt === undefined ? 'no answer' : undefined;
	}

	if (more.length > 0) {
		return `${query.answers.length} answers`;
	}

	const paused = history.pausedWithin(query.entry, query.at, answer.at);
	if (answer.at - query.at - paused > statusBoundMs) {
		return `answered after ${(answer.at - query.at).toFixed(0)} ms`;
	}

	const executions = history.executed.filter(
		({request}) => request === query.sent.id,
	);
	const {outcome} = answer.status;
	if (outcome === 'not_run' && executions.length > 0) {
		return `reported as not_run, executed by ${executions[0]!.endpoint} at ${executions[0]!.at.toFixed(1)}`;
	}

	// A repeated request with a key completes with the first one's execution.
	const hasWholeExecution = history.executed.some(
		({identity, end}) => identity === query.sent.identity && end === 'whole',
	);
	return outcome === 'completed' && !hasWholeExecution
		? 'reported as completed, but no execution was whole'
		: undefined;
}
