import process from 'node:process';
import {EngineServer} from '../../interfaces/standins/index.js';

/** Engine stand-in as a process of its own; the arguments are first-token time and gap in milliseconds. Prints its URL. */
const [firstTokenMs, gapMs] = process.argv.slice(2).map(Number);
const engine = new EngineServer({
	firstTokenMs: firstTokenMs!,
	gapMs: gapMs!,
	batchCost: 0,
	defaultTokens: 24,
});
console.log(await engine.listen());
