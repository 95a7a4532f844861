import type {EngineLimits, Prompt} from '../../interfaces/index.js';

/**
 * Whether an engine could hold a request with the token counts that its caller
 * states. An engine rejects a larger one at once, so its counts must not enter
 * the estimates: one of them would close all engines for other prompts.
 */
export function fitsEngine(
	{promptTokens, outputTokens, parts}: Prompt,
	{kvTokens}: EngineLimits,
): boolean {
	const partTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
	return promptTokens + outputTokens <= kvTokens && partTokens <= kvTokens;
}
