import {z} from 'zod';
import {hash32} from '../../base/index.js';

/** Header that names the request to the oracle; a repeated request has the same body but another id. */
export const requestHeader = 'x-fuzz-request';

/** Instruction to a fake endpoint, carried in the body of a call. */
export const orderSchema = z.object({
	identity: z.string(),
	keyed: z.boolean(),
	length: z.number(),
});
export type Order = z.infer<typeof orderSchema>;

/**
 * One token of a fake answer. It names its identity, position and execution,
 * and a hash of all text before it, so that any mixture of two executions shows.
 */
export function token(
	identity: string,
	position: number,
	before: string,
	execution: number,
): string {
	return `<${identity} ${position} ${hash32(before).toString(36)} ${execution}>`;
}

/** Number of tokens in a text. */
export function countTokens(text: string): number {
	return text.split('>').length - 1;
}

/** First fault of an answer, or undefined when it is a correct beginning. */
export function faultOf(text: string, identity: string): string | undefined {
	let before = '';
	let position = 0;
	for (const part of text.split('>').slice(0, -1)) {
		const [owner, number, hash] = part.slice(1).split(' ');
		if (owner !== identity) {
			return `token ${position} belongs to ${owner}`;
		}

		if (Number(number) !== position) {
			return `token ${number} in the place of token ${position}`;
		}

		if (hash !== hash32(before).toString(36)) {
			return `token ${position} continues another text`;
		}

		before += `${part}>`;
		position++;
	}

	return undefined;
}
