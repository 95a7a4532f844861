import {countTokens, findCorruption} from '../answer.js';
import type {SentRequest} from '../history.js';
import type {Property} from './property.js';

/** Invariant 3: every caller gets the whole answer to its own request, in order, with nothing repeated or missing. */
export const wholeAnswer: Property = {
	name: 'whole answer',
	violations: (history) =>
		[...history.sent.values()].flatMap((sent) => {
			const violation = answerViolation(sent);
			return violation ? [`${sent.id}: ${violation}`] : [];
		}),
};

function answerViolation(sent: SentRequest): string | undefined {
	const corruption = findCorruption(sent.text, sent.identity);
	if (corruption) {
		return corruption;
	}

	const firstMisplaced = sent.sequences.findIndex(
		(value, index) => value !== index + 1,
	);
	if (firstMisplaced !== -1) {
		return `chunk ${sent.sequences[firstMisplaced]} where chunk ${firstMisplaced + 1} is expected`;
	}

	if (sent.heads > 1 || (sent.heads === 0 && sent.text !== '')) {
		return `${sent.heads} heads`;
	}

	// A repeated request gets no answer when the first one's was too large to keep.
	const isCompleted = sent.ends.some(
		({outcome, code}) =>
			outcome === 'completed' && code !== 'already_completed',
	);
	const count = countTokens(sent.text);
	return isCompleted && count !== sent.length
		? `reported as completed with ${count} of ${sent.length} tokens`
		: undefined;
}
