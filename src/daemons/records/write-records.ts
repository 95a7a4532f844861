import {randomInt, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../../base/index.js';
import {callTable, type Table} from '../../interfaces/index.js';
import {
	Writer,
	type Edit,
	type WriteResult,
	type WriterEffect,
} from '../../services/index.js';

export type WriteRequest = {
	readonly operator: string;
	readonly edits: readonly Edit[];
	readonly writeId?: string;
};

/** Carries out a write against the table; settles within seconds also when answers are lost. */
export async function writeRecords(
	table: Table,
	request: WriteRequest,
): Promise<{id: string; result: WriteResult}> {
	const id = request.writeId ?? randomUUID();
	const {operator, edits} = request;
	const writer = new Writer(new Random(randomInt(2 ** 31)));
	const pending: WriterEffect[] = writer.handle(
		{type: 'write', id, operator, edits},
		performance.now(),
	);
	for (;;) {
		const ended = pending.find((effect) => effect.type === 'result');
		if (ended) {
			return {id, result: ended.result};
		}

		const calls = pending.splice(0).filter((effect) => effect.type === 'table');
		const answers = await Promise.all(
			calls.map(async (effect) => ({
				id: effect.id,
				answer: await callTable(table, effect.call),
			})),
		);
		for (const answer of answers) {
			const message = {type: 'table', ...answer} as const;
			pending.push(...writer.handle(message, performance.now()));
		}

		if (pending.length === 0) {
			const wake = writer.nextWake() ?? performance.now();
			await sleep(Math.max(1, wake - performance.now()));
			pending.push(...writer.handle({type: 'tick'}, performance.now()));
		}
	}
}
