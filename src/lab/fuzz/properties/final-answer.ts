import type {History, Sent} from '../history.js';
import type {Property} from './property.js';

/**
 * Time after a request's timeout by which its caller has the final answer, in
 * milliseconds in which the entry was running: 500 ms for the sidecar's word on
 * a cancelled attempt, and for a non-idempotent request 2 s for the run record.
 */
const answerBoundMs = {idempotent: 500, keyed: 2500};

/** Latency of the caller's connection, both ways together, in milliseconds. */
const callerRoundTripMs = 6;

/** Every request gets exactly one final answer, within its timeout plus the bound. */
export const finalAnswer: Property = {
	name: 'final answer',
	violations: (history) =>
		[...history.sent.values()].flatMap((sent) => {
			const fault = faultOfEnd(history, sent);
			return fault ? [`${sent.id}: ${fault}`] : [];
		}),
};

function faultOfEnd(history: History, sent: Sent): string | undefined {
	if (sent.afterEnd > 0) {
		return 'something followed the final answer';
	}

	if (sent.goneAt !== undefined || sent.lostAt !== undefined) {
		return undefined;
	}

	const [end] = sent.ends;
	if (!end) {
		return 'no final answer';
	}

	const paused = history.pausedWithin(sent.entry, sent.at, end.at);
	const took = end.at - sent.at - paused;
	const boundMs = sent.keyed ? answerBoundMs.keyed : answerBoundMs.idempotent;
	return took > sent.timeoutMs + boundMs + callerRoundTripMs
		? `final answer ${took.toFixed(0)} ms after it was sent, with a timeout of ${sent.timeoutMs} ms`
		: undefined;
}
