import {countTokens, faultOf} from '../answer.js';
import type {Sent} from '../history.js';
import type {Property} from './property.js';

/** Invariant 3: every caller gets the whole answer to its own request, in order, nothing repeated or missing. */
export const wholeAnswer: Property = {
	name: 'whole answer',
	violations: (history) =>
		[...history.sent.values()].flatMap((sent) => {
			const fault = faultOfAnswer(sent);
			return fault ? [`${sent.id}: ${fault}`] : [];
		}),
};

function faultOfAnswer(sent: Sent): string | undefined {
	const fault = faultOf(sent.text, sent.identity);
	if (fault) {
		return fault;
	}

	const gap = sent.sequences.findIndex((value, index) => value !== index + 1);
	if (gap !== -1) {
		return `chunk ${sent.sequences[gap]} in the place of chunk ${gap + 1}`;
	}

	if (sent.heads > 1 || (sent.heads === 0 && sent.text !== '')) {
		return `${sent.heads} heads`;
	}

	// A repeated request whose answer was too large to keep gets none.
	const completed = sent.ends.some(
		({outcome, code}) =>
			outcome === 'completed' && code !== 'already_completed',
	);
	const count = countTokens(sent.text);
	return completed && count !== sent.length
		? `told completed with ${count} of ${sent.length} tokens`
		: undefined;
}
