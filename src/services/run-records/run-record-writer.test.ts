import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import {
	runRetentionMs,
	type TableAnswer,
	type TableCall,
} from '../../interfaces/index.js';
import {MemoryTable} from '../../interfaces/standins/index.js';
import {
	claimOperation,
	releaseOperation,
	revocationOperation,
	type Claimant,
	type RunOperationBase,
} from './operations.js';
import {
	RunRecordWriter,
	type RunRecordWriterOutput,
} from './run-record-writer.js';
import {Sweep} from './sweep.js';

const key = 'run/w/k';

function operationBase(id: string, giveUpAt: number): RunOperationBase {
	const known = {type: 'absent'} as const;
	return {id, key, known, giveUpAt, persistent: false, wallNow: 0};
}

function claimant(attempt: string): Claimant {
	return {
		attempt,
		requestId: 'r',
		endpoint: `e-${attempt}`,
		incarnation: `i-${attempt}`,
		fingerprint: '',
		endsBy: 0,
	};
}

/** Claims, revokes and releases four attempts of one run on a table that loses answers and applies writes late. */
class Simulation {
	readonly ranAttempts = new Set<string>();
	readonly revokedAttempts = new Set<string>();
	/** Attempts whose claim got no answer in time, so that their sidecar does not run them. */
	readonly abandonedAttempts = new Set<string>();
	readonly #random: Random;
	readonly #table = new MemoryTable();
	readonly #writers = new Map<string, RunRecordWriter>();
	readonly #events: Array<{at: number; run: (now: number) => void}> = [];

	constructor(seed: number) {
		this.#random = new Random(seed);
	}

	run(): void {
		for (const attempt of ['a', 'b', 'c', 'd']) {
			const claimWriter = new RunRecordWriter(`claim-${attempt}`);
			const revocationWriter = new RunRecordWriter(`revoke-${attempt}`);
			this.#writers.set(`claim-${attempt}`, claimWriter);
			this.#writers.set(`revoke-${attempt}`, revocationWriter);
			this.#schedule(this.#random.integer(300), (now) => {
				const operation = claimOperation(
					operationBase(attempt, now + 400),
					claimant(attempt),
					[],
				);
				this.#applyOutput(
					attempt,
					'claim',
					claimWriter.begin(operation, now),
					now,
				);
			});
			this.#schedule(this.#random.integer(500), (now) => {
				const operation = revocationOperation(
					operationBase(attempt, now + 400),
					attempt,
					[],
				);
				this.#applyOutput(
					attempt,
					'revoke',
					revocationWriter.begin(operation, now),
					now,
				);
			});
		}

		while (this.#events.length > 0) {
			this.#events.sort((a, b) => b.at - a.at);
			const event = this.#events.pop()!;
			event.run(event.at);
		}
	}

	#schedule(at: number, run: (now: number) => void): void {
		this.#events.push({at, run});
	}

	#applyOutput(
		attempt: string,
		role: 'claim' | 'revoke',
		output: RunRecordWriterOutput,
		now: number,
	): void {
		const writer = this.#writers.get(`${role}-${attempt}`)!;
		for (const {id, call} of output.effects) {
			this.#callTable(call, now, (answer, then) => {
				this.#applyOutput(attempt, role, writer.answer(id, answer, then), then);
			});
		}

		for (const {result} of output.settled) {
			if (role === 'revoke') {
				if (result.type === 'written') {
					this.revokedAttempts.add(attempt);
				}
			} else if (
				result.type === 'written' &&
				!this.abandonedAttempts.has(attempt)
			) {
				this.ranAttempts.add(attempt);
			} else if (
				result.type === 'unavailable' &&
				!this.abandonedAttempts.has(attempt)
			) {
				this.abandonedAttempts.add(attempt);
				const operation = releaseOperation(
					operationBase(`${attempt}-x`, now + 9000),
					claimant(attempt),
				);
				this.#applyOutput(attempt, role, writer.begin(operation, now), now);
			}
		}

		const wake = writer.nextWake();
		if (wake !== undefined) {
			this.#schedule(Math.max(now, wake), (then) => {
				const due = writer.nextWake();
				if (due !== undefined && due <= then) {
					this.#applyOutput(attempt, role, writer.advance(then), then);
				}
			});
		}
	}

	#callTable(
		call: TableCall,
		now: number,
		answer: (answer: TableAnswer, now: number) => void,
	): void {
		const roll = this.#random.next();
		const applyAt = now + this.#random.integer(roll < 0.3 ? 1500 : 60);
		const answerAt = Math.max(
			applyAt,
			now + this.#random.integer(this.#random.next() < 0.2 ? 600 : 60),
		);
		if (roll > 0.85) {
			this.#schedule(now + 5, (then) => {
				answer({type: 'unavailable'}, then);
			});
			return;
		}

		let result: TableAnswer = {type: 'unavailable'};
		this.#schedule(applyAt, () => {
			result = this.#applyToTable(call);
		});
		if (roll < 0.3) {
			this.#schedule(now + 20, (then) => {
				answer(
					{type: call.type === 'commit' ? 'uncertain' : 'unavailable'},
					then,
				);
			});
		} else {
			this.#schedule(answerAt + 1, (then) => {
				answer(result, then);
			});
		}
	}

	#applyToTable(call: TableCall): TableAnswer {
		return call.type === 'commit'
			? {type: 'decision', decision: this.#table.commitSync(call.transaction)}
			: {type: 'row', row: this.#table.rowSync(key)};
	}
}

// Guards against a second run, and against the report "not run" for an attempt that ran, when answers of the table are lost or late.
test('at most one attempt of a run executes, and never one that was revoked', () => {
	let runs = 0;
	let revocations = 0;
	for (let seed = 1; seed <= 2000; seed++) {
		const simulation = new Simulation(seed);
		simulation.run();
		runs += simulation.ranAttempts.size;
		revocations += simulation.revokedAttempts.size;
		expect(simulation.ranAttempts.size).toBeLessThanOrEqual(1);
		for (const attempt of simulation.ranAttempts) {
			expect(simulation.revokedAttempts.has(attempt)).toEqual(false);
		}
	}

	expect(runs).toBeGreaterThan(500);
	expect(revocations).toBeGreaterThan(500);
});

// Guards against run records that are never deleted, and against the deletion of one that is still needed.
test('sweep deletes exactly the expired records', async () => {
	const table = new MemoryTable();
	for (const [name, wallNow] of [
		['old', 0],
		['new', 1000],
	] as const) {
		const operation = claimOperation(
			{...operationBase(name, 1), wallNow},
			claimant(name),
			[],
		);
		const step = operation.decide({type: 'absent'});
		const value = JSON.stringify(step.type === 'write' ? step.record : null);
		table.commitSync({checks: [], writes: [{key: `run/w/${name}`, value}]});
	}

	const sweep = new Sweep(new Random(1));
	for (let now = 0; now < 400_000; now += 10_000) {
		for (const {id, call} of sweep.advance(now)) {
			const rows =
				call.type === 'scan' ? await table.scan(call.prefix, call.after) : [];
			const answer = {type: 'rows', rows} as const;
			for (const next of sweep.answer(id, answer, runRetentionMs)) {
				expect(next.call.type).toEqual('commit');
				if (next.call.type === 'commit') {
					table.commitSync(next.call.transaction);
				}
			}
		}
	}

	const remaining = await table.scan('run/');
	expect(remaining.map((row) => row.key)).toEqual(['run/w/new']);
});
