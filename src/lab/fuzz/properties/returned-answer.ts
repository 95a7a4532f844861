import {countTokens, findCorruption} from '../answer.js';
import type {ResumedStream} from '../history.js';
import type {Property} from './property.js';

/** Invariant 3 for a caller that reconnects: it gets exactly the rest of its answer, and one final outcome. */
export const returnedAnswer: Property = {
	name: 'returned answer',
	violations: (history) =>
		[...history.resumedStreams.values()].flatMap((stream) => {
			const violation = resumedStreamViolation(stream);
			return violation
				? [`${stream.id} for ${stream.sent.id}: ${violation}`]
				: [];
		}),
};

function resumedStreamViolation(stream: ResumedStream): string | undefined {
	const {sent, text, after, sequences, ends} = stream;
	const corruption = findCorruption(text, sent.identity);
	if (corruption) {
		return corruption;
	}

	if (sequences.some((value, position) => value !== after + position + 1)) {
		return `chunks ${sequences.join(', ')} after chunk ${after}`;
	}

	if (stream.effectsAfterEnd > 0) {
		return 'an effect followed the final answer';
	}

	if (ends.length === 0 && stream.connectionLostAt === undefined) {
		return 'no final answer';
	}

	const count = countTokens(text);
	return ends[0]?.outcome === 'completed' && count !== sent.length
		? `reported as completed with ${count} of ${sent.length} tokens`
		: undefined;
}
