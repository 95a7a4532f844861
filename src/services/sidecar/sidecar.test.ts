import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import type {
	AttemptStart,
	Profile,
	TableCall,
	Update,
} from '../../interfaces/index.js';
import {MemoryTable} from '../../interfaces/standins/index.js';
import {parseRunRow} from '../ledger/index.js';
import {windowSize} from './answer-buffer.js';
import type {SidecarEffect, SidecarMessage} from './message.js';
import {Scheduler} from './scheduler.js';
import {Sidecar} from './sidecar.js';

const profile: Profile = {
	contract: {
		workspace: 'w',
		requestClass: 'staff',
		tier: 0,
		firstTokenMs: 500,
		gapMs: 50,
		share: 0,
		weight: 1,
		patience: 4,
	},
	target: 'booking',
	kind: 'service',
	promptTokens: 0,
	prefix: [],
};

function startOf(attempt: string, parts?: Partial<AttemptStart>): AttemptStart {
	return {
		type: 'start',
		attempt,
		requestId: attempt.split('.')[0]!,
		incarnation: 'i1',
		profile,
		call: {method: 'POST', path: '/bookings', headers: {}, body: '{}'},
		idempotent: false,
		idempotencyKey: 'key',
		resumable: false,
		remainingMs: 10_000,
		...parts,
	};
}

/** A sidecar with a table whose answers are handed over on demand. */
class Bench {
	readonly sidecar: Sidecar;
	readonly runs: string[] = [];
	readonly updates: Update[] = [];
	readonly others: SidecarEffect[] = [];
	now = 0;
	readonly #calls: Array<{id: string; call: TableCall}> = [];

	constructor(
		readonly table = new MemoryTable(),
		endpoint = 'e1',
		incarnation = 'i1',
	) {
		const scheduler = new Scheduler(new Random(1));
		this.sidecar = new Sidecar({endpoint, incarnation, scheduler});
		this.send({type: 'targets', targets: ['booking']});
	}

	send(message: SidecarMessage): void {
		for (const effect of this.sidecar.handle(message, this.now)) {
			if (effect.type === 'table') {
				this.#calls.push(effect);
			} else if (effect.type === 'run') {
				this.runs.push(effect.attempt);
			} else if (effect.type === 'send' && effect.message.type === 'update') {
				this.updates.push(effect.message.update);
			} else {
				this.others.push(effect);
			}
		}
	}

	peer(message: Extract<SidecarMessage, {type: 'peer'}>['message']): void {
		this.send({type: 'peer', link: 'l', message});
	}

	/** Carries out the table calls that are pending, and those that follow. */
	async settle(): Promise<void> {
		for (let next = this.#calls.shift(); next; next = this.#calls.shift()) {
			const {id, call} = next;
			const answer =
				call.type === 'commit'
					? ({
							type: 'decision',
							decision: await this.table.commit(call.transaction),
						} as const)
					: ({type: 'row', row: this.table.rowNow('run/w/key')} as const);
			this.send({type: 'table', id, answer});
		}
	}

	/** Answers the pending table calls without an effect. */
	refuseTable(type: 'unavailable' | 'uncertain'): void {
		for (const {id} of this.#calls.splice(0)) {
			this.send({type: 'table', id, answer: {type}});
		}
	}

	passTime(ms: number): void {
		const end = this.now + ms;
		for (;;) {
			const wake = this.sidecar.nextWake();
			if (wake === undefined || wake > end) {
				break;
			}

			this.now = Math.max(this.now, wake);
			this.send({type: 'tick'});
		}

		this.now = end;
		this.send({type: 'tick'});
	}

	answer(attempt: string, ...data: string[]): void {
		const head = {type: 'head', status: 201, headers: {}, binary: false};
		this.send({type: 'endpoint', attempt, event: {...head, type: 'head'}});
		for (const item of data) {
			const event = {type: 'chunk', data: item, tokens: 1} as const;
			this.send({type: 'endpoint', attempt, event});
		}

		this.send({type: 'endpoint', attempt, event: {type: 'end'}});
	}

	last(): Update {
		return this.updates.at(-1)!;
	}

	recordState(): unknown {
		const row = this.table.rowNow('run/w/key');
		const run = parseRunRow(row);
		return run.type === 'present' ? run.record.state : run.type;
	}
}

// Guards against a call that reaches the endpoint before the table has confirmed its claim.
test('sidecar runs a non-idempotent call only after its claim', async () => {
	const bench = new Bench();
	bench.peer(startOf('r.1'));
	expect(bench.runs).toEqual([]);
	await bench.settle();
	expect(bench.runs).toEqual(['r.1']);
	expect(bench.recordState()).toEqual('claimed');
});

// Guards against a run after the caller was told that its time was over, or that it was cancelled.
test('sidecar never runs a claim that came too late', async () => {
	for (const end of ['deadline', 'cancel', 'linkLost', 'leave', 'pause']) {
		const bench = new Bench();
		bench.peer(startOf('r.1', {remainingMs: 4000}));
		switch (end) {
			case 'deadline': {
				bench.passTime(4000);

				break;
			}

			case 'cancel': {
				bench.peer({type: 'cancel', attempt: 'r.1'});

				break;
			}

			case 'linkLost': {
				bench.send({type: 'linkLost', link: 'l'});

				break;
			}

			default: {
				bench.now = 60_000;
			}
		}

		await bench.settle();
		expect(bench.runs).toEqual([]);
		expect(bench.recordState()).toEqual('revoked');
	}
});

// Guards against a second run of a key, and against a lost or invented answer for the repeated request.
test('sidecar answers a repeated key from the run record', async () => {
	const table = new MemoryTable();
	const first = new Bench(table);
	first.peer(startOf('r.1'));
	await first.settle();
	const second = new Bench(table, 'e2', 'i2');
	second.peer(startOf('s.1', {incarnation: 'i2'}));
	await second.settle();
	expect(second.last()).toLooseEqual({
		type: 'refused',
		attempt: 's.1',
		refusal: {
			reason: 'duplicate',
			retryAfterMs: 1000,
			recorded: {state: 'running', attempt: 'r.1'},
		},
	});
	first.answer('r.1', 'bo', 'oked');
	await first.settle();
	second.updates.length = 0;
	second.peer(startOf('t.1', {incarnation: 'i2'}));
	await second.settle();
	expect(second.runs).toEqual([]);
	expect(second.updates.map((update) => update.type)).toEqual([
		'head',
		'chunk',
		'chunk',
		'ended',
	]);
	const call = {method: 'POST', path: '/bookings', headers: {}, body: '{1}'};
	second.peer(startOf('u.1', {incarnation: 'i2', call}));
	await second.settle();
	expect(second.last()).toLooseEqual({
		type: 'refused',
		attempt: 'u.1',
		refusal: {
			reason: 'duplicate',
			retryAfterMs: 0,
			recorded: {state: 'mismatch', attempt: 'r.1'},
		},
	});
});

// Guards against a run without a claim, and against a wait for a table that is down.
test('sidecar refuses a non-idempotent call while the table is down', () => {
	const bench = new Bench();
	bench.peer(startOf('r.1'));
	bench.refuseTable('unavailable');
	expect(bench.last()).toEqual({
		type: 'refused',
		attempt: 'r.1',
		refusal: {reason: 'claim_unavailable', retryAfterMs: 1000},
	});
	bench.peer(startOf('r.2'));
	bench.refuseTable('uncertain');
	bench.refuseTable('unavailable');
	bench.passTime(6000);
	expect(bench.last()).toLooseEqual({
		type: 'refused',
		attempt: 'r.2',
		refusal: {reason: 'claim_unavailable', retryAfterMs: 1000},
	});
	expect(bench.runs).toEqual([]);
});

// Guards against work that runs twice because its entry moved it while this process was paused.
test('sidecar does not run what was queued before a pause', () => {
	const bench = new Bench();
	for (let n = 0; n < 200; n++) {
		bench.peer(startOf(`q${n}.1`, {idempotent: true}));
	}

	const running = bench.runs.length;
	expect(running).toBeLessThan(200);
	bench.now = 4000;
	for (const attempt of bench.runs) {
		bench.answer(attempt);
	}

	expect(bench.runs.length).toEqual(running);
	expect(
		bench.updates.filter((update) => update.type === 'refused').length,
	).toEqual(200 - running);
});

// Guards against memory that a slow caller fills, and against a stream that stays paused.
test('sidecar pauses and resumes a run by the window', () => {
	const bench = new Bench();
	bench.peer(startOf('r.1', {idempotent: true}));
	const data = 'x'.repeat(windowSize / 4);
	const chunk = {type: 'chunk', data, tokens: 1} as const;
	for (let n = 0; n < 5; n++) {
		bench.send({type: 'endpoint', attempt: 'r.1', event: chunk});
	}

	expect(bench.others).toEqual([{type: 'pauseRun', attempt: 'r.1'}]);
	bench.peer({type: 'credit', attempt: 'r.1', upTo: 2});
	expect(bench.others.length).toEqual(1);
	bench.peer({type: 'credit', attempt: 'r.1', upTo: 3});
	expect(bench.others[1]).toEqual({type: 'resumeRun', attempt: 'r.1'});
});

// Guards against a lost chunk on a new link, and against "not run" for an attempt that ran and was forgotten.
test('sidecar answers attach with what is known and no more', () => {
	const bench = new Bench();
	bench.peer(startOf('r.1', {idempotent: true}));
	bench.send({type: 'linkLost', link: 'l'});
	bench.answer('r.1', 'a', 'b');
	bench.updates.length = 0;
	const attach = {type: 'attach', workspace: 'w', ageMs: 100} as const;
	bench.peer({...attach, attempt: 'r.1', after: 1});
	expect(bench.updates.map((update) => update.type)).toEqual([
		'started',
		'head',
		'chunk',
		'ended',
	]);
	bench.peer({...attach, attempt: 'never.1', after: 0});
	expect(bench.last().type).toEqual('refused');
	bench.peer(startOf('never.1', {idempotent: true}));
	expect(bench.last().type).toEqual('refused');
	bench.passTime(30_000);
	bench.peer({...attach, attempt: 'r.1', after: 0});
	expect(bench.last()).toLooseEqual({
		type: 'ended',
		attempt: 'r.1',
		outcome: 'unknown',
		sequence: 0,
		reason: 'forgotten',
	});
	bench.passTime(100_000);
	bench.peer({...attach, attempt: 'r.1', after: 0, ageMs: 130_000});
	expect(bench.last().type).toEqual('ended');
});
