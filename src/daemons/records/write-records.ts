import {randomInt, randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {Random} from '../../base/index.js';
import {callTable, type Table} from '../../interfaces/index.js';
import {
	RecordWriter,
	type Edit,
	type WriteResult,
	type WriterEffect,
} from '../../services/index.js';

export type WriteRequest = {
	readonly operator: string;
	readonly edits: readonly Edit[];
	readonly writeId?: string;
};

/** Writes records to the table; resolves to the result within seconds, even when answers of the table are lost. */
export async function writeRecords(
	table: Table,
	request: WriteRequest,
): Promise<{id: string; result: WriteResult}> {
	const id = request.writeId ?? randomUUID();
	const {operator, edits} = request;
	const writer = new RecordWriter(new Random(randomInt(2 ** 31)));
	const pending: WriterEffect[] = writer.handle(
		{type: 'write', id, operator, edits},
		performance.now(),
	);
	for (;;) {
		const resultEffect = pending.find((effect) => effect.type === 'result');
		if (resultEffect) {
			return {id, result: resultEffect.result};
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
			const wakeAt = writer.nextWake() ?? performance.now();
			await sleep(Math.max(1, wakeAt - performance.now()));
			pending.push(...writer.handle({type: 'tick'}, performance.now()));
		}
	}
}
