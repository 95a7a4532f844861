import {countTokens, faultOf} from '../answer.js';
import type {Returned} from '../history.js';
import type {Property} from './property.js';

/** Invariant 3 for a caller that comes back: it gets exactly the rest of its answer, and one final word. */
export const returnedAnswer: Property = {
	name: 'returned answer',
	violations: (history) =>
		[...history.returned.values()].flatMap((returned) => {
			const fault = faultOfReturn(returned);
			return fault ? [`${returned.id} for ${returned.sent.id}: ${fault}`] : [];
		}),
};

function faultOfReturn(returned: Returned): string | undefined {
	const {sent, text, after, sequences, ends} = returned;
	const fault = faultOf(text, sent.identity);
	if (fault) {
		return fault;
	}

	if (sequences.some((value, position) => value !== after + position + 1)) {
		return `chunks ${sequences.join(', ')} after ${after}`;
	}

	if (returned.afterEnd > 0) {
		return 'something followed the final answer';
	}

	if (ends.length === 0 && returned.lostAt === undefined) {
		return 'no final answer';
	}

	const count = countTokens(text);
	return ends[0]?.outcome === 'completed' && count !== sent.length
		? `told completed with ${count} of ${sent.length} tokens`
		: undefined;
}
