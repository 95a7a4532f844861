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
	claimWork,
	cleanUpWork,
	revocationWork,
	type Claimant,
	type WorkFrame,
} from './intents.js';
import {Ledger, type LedgerOutput} from './ledger.js';
import {Sweep} from './sweep.js';

const key = 'run/w/k';

function frame(id: string, giveUpAt: number): WorkFrame {
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

/** Claims, revokes and cleans up for four attempts on a table that loses answers and applies writes late. */
class Trial {
	readonly ran = new Set<string>();
	readonly notRun = new Set<string>();
	/** Attempts that their sidecar has given up without running. */
	readonly givenUp = new Set<string>();
	readonly #random: Random;
	readonly #table = new MemoryTable();
	readonly #ledgers = new Map<string, Ledger>();
	readonly #events: Array<{at: number; run: (now: number) => void}> = [];

	constructor(seed: number) {
		this.#random = new Random(seed);
	}

	run(): void {
		for (const attempt of ['a', 'b', 'c', 'd']) {
			const claims = new Ledger(`claim-${attempt}`);
			const revocations = new Ledger(`revoke-${attempt}`);
			this.#ledgers.set(`claim-${attempt}`, claims);
			this.#ledgers.set(`revoke-${attempt}`, revocations);
			this.#at(this.#random.integer(300), (now) => {
				const work = claimWork(
					frame(attempt, now + 400),
					claimant(attempt),
					[],
				);
				this.#take(attempt, 'claim', claims.begin(work, now), now);
			});
			this.#at(this.#random.integer(500), (now) => {
				const work = revocationWork(frame(attempt, now + 400), attempt, []);
				this.#take(attempt, 'revoke', revocations.begin(work, now), now);
			});
		}

		while (this.#events.length > 0) {
			this.#events.sort((a, b) => b.at - a.at);
			const event = this.#events.pop()!;
			event.run(event.at);
		}
	}

	#at(at: number, run: (now: number) => void): void {
		this.#events.push({at, run});
	}

	#take(
		attempt: string,
		role: 'claim' | 'revoke',
		output: LedgerOutput,
		now: number,
	): void {
		const ledger = this.#ledgers.get(`${role}-${attempt}`)!;
		for (const {id, call} of output.effects) {
			this.#call(call, now, (answer, then) => {
				this.#take(attempt, role, ledger.answer(id, answer, then), then);
			});
		}

		for (const {result} of output.settled) {
			if (role === 'revoke') {
				if (result.type === 'written') {
					this.notRun.add(attempt);
				}
			} else if (result.type === 'written' && !this.givenUp.has(attempt)) {
				this.ran.add(attempt);
			} else if (result.type === 'unavailable' && !this.givenUp.has(attempt)) {
				this.givenUp.add(attempt);
				const work = cleanUpWork(
					frame(`${attempt}-x`, now + 9000),
					claimant(attempt),
				);
				this.#take(attempt, role, ledger.begin(work, now), now);
			}
		}

		const wake = ledger.nextWake();
		if (wake !== undefined) {
			this.#at(Math.max(now, wake), (then) => {
				const due = ledger.nextWake();
				if (due !== undefined && due <= then) {
					this.#take(attempt, role, ledger.advance(then), then);
				}
			});
		}
	}

	#call(
		call: TableCall,
		now: number,
		answer: (answer: TableAnswer, now: number) => void,
	): void {
		const fate = this.#random.next();
		const applyAt = now + this.#random.integer(fate < 0.3 ? 1500 : 60);
		const answerAt = Math.max(
			applyAt,
			now + this.#random.integer(this.#random.next() < 0.2 ? 600 : 60),
		);
		if (fate > 0.85) {
			this.#at(now + 5, (then) => {
				answer({type: 'unavailable'}, then);
			});
			return;
		}

		let result: TableAnswer = {type: 'unavailable'};
		this.#at(applyAt, () => {
			result = this.#apply(call);
		});
		if (fate < 0.3) {
			this.#at(now + 20, (then) => {
				answer(
					{type: call.type === 'commit' ? 'uncertain' : 'unavailable'},
					then,
				);
			});
		} else {
			this.#at(answerAt + 1, (then) => {
				answer(result, then);
			});
		}
	}

	#apply(call: TableCall): TableAnswer {
		return call.type === 'commit'
			? {type: 'decision', decision: this.#table.commitNow(call.transaction)}
			: {type: 'row', row: this.#table.rowNow(key)};
	}
}

// Guards against a second run, and against "not run" for an attempt that ran, when answers of the table are lost or late.
test('ledger runs one attempt at most and never one that was revoked', () => {
	let runs = 0;
	let proofs = 0;
	for (let seed = 1; seed <= 2000; seed++) {
		const trial = new Trial(seed);
		trial.run();
		runs += trial.ran.size;
		proofs += trial.notRun.size;
		expect(trial.ran.size).toBeLessThanOrEqual(1);
		for (const attempt of trial.ran) {
			expect(trial.notRun.has(attempt)).toEqual(false);
		}
	}

	expect(runs).toBeGreaterThan(500);
	expect(proofs).toBeGreaterThan(500);
});

// Guards against run records that stay in the table for ever, and against the loss of one that is still needed.
test('sweep deletes exactly the expired records', async () => {
	const table = new MemoryTable();
	for (const [name, wallNow] of [
		['old', 0],
		['new', 1000],
	] as const) {
		const work = claimWork({...frame(name, 1), wallNow}, claimant(name), []);
		const step = work.decide({type: 'absent'});
		const value = JSON.stringify(step.type === 'write' ? step.record : null);
		table.commitNow({checks: [], writes: [{key: `run/w/${name}`, value}]});
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
					table.commitNow(next.call.transaction);
				}
			}
		}
	}

	const left = await table.scan('run/');
	expect(left.map((row) => row.key)).toEqual(['run/w/new']);
});
