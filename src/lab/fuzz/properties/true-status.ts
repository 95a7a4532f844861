import type {Asked, History} from '../history.js';
import type {Property} from './property.js';

/** Time within which a query is answered, in milliseconds in which the entry was running: its wait for the sidecars and the caller's round trip. */
const statusBoundMs = 506;

/** A caller that asks what became of its request is told so once and in time, and nothing that is not so. */
export const trueStatus: Property = {
	name: 'true status',
	violations: (history) =>
		[...history.asked.values()].flatMap((asked) => {
			const fault = faultOfStatus(history, asked);
			return fault ? [`${asked.id} for ${asked.sent.id}: ${fault}`] : [];
		}),
};

function faultOfStatus(history: History, asked: Asked): string | undefined {
	const [answer, ...more] = asked.answers;
	if (!answer) {
		return asked.lostAt === undefined ? 'no answer' : undefined;
	}

	if (more.length > 0) {
		return `${asked.answers.length} answers`;
	}

	const paused = history.pausedWithin(asked.entry, asked.at, answer.at);
	if (answer.at - asked.at - paused > statusBoundMs) {
		return `answered after ${(answer.at - asked.at).toFixed(0)} ms`;
	}

	const executed = history.executed.filter(
		({request}) => request === asked.sent.id,
	);
	const {outcome} = answer.status;
	if (outcome === 'not_run' && executed.length > 0) {
		return `told not_run, executed by ${executed[0]!.endpoint} at ${executed[0]!.at.toFixed(1)}`;
	}

	// A repeated request with a key completes with the first one's execution.
	const whole = history.executed.some(
		({identity, end}) => identity === asked.sent.identity && end === 'whole',
	);
	return outcome === 'completed' && !whole
		? 'told completed, but no execution was whole'
		: undefined;
}
