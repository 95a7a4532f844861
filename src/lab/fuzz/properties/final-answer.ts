import type {History, SentRequest} from '../history.js';
import type {Property} from './property.js';

/**
 * Time after a request's timeout by which its caller has the final answer, in
 * milliseconds in which the entry was running: 500 ms for the sidecar's reply on
 * a cancelled attempt, and for a non-idempotent request 2 s more for the run
 * record.
 */
const answerBoundMs = {idempotent: 500, keyed: 2500};

/** Round trip between caller and entry, in milliseconds. */
const callerRoundTripMs = 6;

/** Every request gets exactly one final answer, within its timeout plus the bound; one whose connection is closed may get none. */
export const finalAnswer: Property = {
	name: 'final answer',
	violations: (history) =>
		[...history.sent.values()].flatMap((sent) => {
			const violation = finalAnswerViolation(history, sent);
			return violation ? [`${sent.id}: ${violation}`] : [];
		}),
};

function finalAnswerViolation(
	history: History,
	sent: SentRequest,
): string | undefined {
	if (sent.effectsAfterEnd > 0) {
		return 'an effect followed the final answer';
	}

	if (
		sent.disconnectedAt !== undefined ||
		sent.connectionLostAt !== undefined
	) {
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
