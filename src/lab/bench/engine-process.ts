import process from 'node:process';
import {EngineServer} from '../../interfaces/standins/index.js';

/** Runs an engine stand-in as a separate process and prints its URL; the arguments are the time to the first token and between tokens, in milliseconds. */
const [firstTokenMs, gapMs] = process.argv.slice(2).map(Number);
const engine = new EngineServer({
	firstTokenMs: firstTokenMs!,
	gapMs: gapMs!,
	batchCost: 0,
	defaultTokens: 24,
});
console.log(await engine.listen());
