import {z} from 'zod';

const chunkSchema = z.looseObject({
	id: z.string().optional(),
	created: z.number().optional(),
	model: z.string().optional(),
	object: z.string().optional(),
	usage: z.unknown().optional(),
	choices: z
		.array(
			z.looseObject({
				index: z.int().optional(),
				delta: z
					.looseObject({
						role: z.string().nullish(),
						content: z.string().nullish(),
					})
					.optional(),
				text: z.string().optional(),
				finish_reason: z.string().nullish(),
			}),
		)
		.optional(),
});

/** Extracts the generated text from the chunks of a chat or text completion. */
export function textOf(chunks: readonly string[]): string {
	return chunks
		.map((chunk) => {
			const [choice] = chunkSchema.parse(JSON.parse(chunk)).choices ?? [];
			return choice?.delta?.content ?? choice?.text ?? '';
		})
		.join('');
}

/** Assembles the chunks of a streamed completion into the body of a non-streamed one. */
export function assembleCompletion(chunks: readonly string[]): string {
	const parsed = chunks.map((chunk) => chunkSchema.parse(JSON.parse(chunk)));
	const [first] = parsed;
	const isChat = first?.object === 'chat.completion.chunk';
	const text = textOf(chunks);
	const choices = parsed.flatMap((chunk) => chunk.choices ?? []);
	const finishReason =
		choices.findLast((choice) => choice.finish_reason)?.finish_reason ?? null;
	return JSON.stringify({
		id: first?.id,
		object: isChat ? 'chat.completion' : 'text_completion',
		created: first?.created,
		model: first?.model,
		choices: [
			isChat
				? {
						index: 0,
						message: {role: 'assistant', content: text},
						finish_reason: finishReason,
					}
				: {index: 0, text, finish_reason: finishReason},
		],
		usage: parsed.findLast((chunk) => chunk.usage)?.usage,
	});
}
