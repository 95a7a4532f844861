import {z} from 'zod';
import {hash32} from '../../base/index.js';

/** Header with the id of the request. A repeated request has the same body but another id, so that the properties can tell them apart. */
export const requestHeader = 'x-fuzz-request';

/** What a fake endpoint has to answer; sent as the body of a call. */
export const answerSpecSchema = z.object({
	identity: z.string(),
	keyed: z.boolean(),
	length: z.number(),
});
export type AnswerSpec = z.infer<typeof answerSpecSchema>;

/**
 * Formats one token of a fake answer: its identity and position, a hash of the
 * text before it, and its execution, so that a mixture of two executions is
 * detected.
 */
export function formatToken(
	identity: string,
	position: number,
	before: string,
	execution: number,
): string {
	return `<${identity} ${position} ${hash32(before).toString(36)} ${execution}>`;
}

/** Counts the complete tokens of a text. */
export function countTokens(text: string): number {
	return text.split('>').length - 1;
}

/** Describes the first wrong token of an answer; undefined when the text is a correct prefix. */
export function findCorruption(
	text: string,
	identity: string,
): string | undefined {
	let before = '';
	let position = 0;
	for (const part of text.split('>').slice(0, -1)) {
		const [actualIdentity, number, hash] = part.slice(1).split(' ');
		if (actualIdentity !== identity) {
			return `token ${position} belongs to ${actualIdentity}`;
		}

		if (Number(number) !== position) {
			return `token ${number} where token ${position} is expected`;
		}

		if (hash !== hash32(before).toString(36)) {
			return `token ${position} does not follow the text before it`;
		}

		before += `${part}>`;
		position++;
	}

	return undefined;
}
