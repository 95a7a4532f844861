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
import {parseRunRow} from '../run-records/index.js';
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

/** A sidecar with a table whose answers are delivered on demand. */
class SidecarHarness {
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

	/** Executes the pending table calls, and those that follow from them. */
	async settle(): Promise<void> {
		for (let next = this.#calls.shift(); next; next = this.#calls.shift()) {
			const {id, call} = next;
			const answer =
				call.type === 'commit'
					? ({
							type: 'decision',
							decision: await this.table.commit(call.transaction),
						} as const)
					: ({type: 'row', row: this.table.rowSync('run/w/key')} as const);
			this.send({type: 'table', id, answer});
		}
	}

	/** Fails the pending table calls; the table does not change. */
	failTableCalls(type: 'unavailable' | 'uncertain'): void {
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
		const row = this.table.rowSync('run/w/key');
		const run = parseRunRow(row);
		return run.type === 'present' ? run.record.state : run.type;
	}
}

// Guards against a call that reaches the endpoint before the table has confirmed its claim.
test('sidecar runs a non-idempotent call only after its claim', async () => {
	const harness = new SidecarHarness();
	harness.peer(startOf('r.1'));
	expect(harness.runs).toEqual([]);
	await harness.settle();
	expect(harness.runs).toEqual(['r.1']);
	expect(harness.recordState()).toEqual('claimed');
});

// Guards against a run after its caller was informed that the deadline had passed or the attempt was cancelled.
test('sidecar never runs a call whose claim is granted too late', async () => {
	for (const end of ['deadline', 'cancel', 'linkLost', 'leave', 'pause']) {
		const harness = new SidecarHarness();
		harness.peer(startOf('r.1', {remainingMs: 4000}));
		switch (end) {
			case 'deadline': {
				harness.passTime(4000);

				break;
			}

			case 'cancel': {
				harness.peer({type: 'cancel', attempt: 'r.1'});

				break;
			}

			case 'linkLost': {
				harness.send({type: 'linkLost', link: 'l'});

				break;
			}

			default: {
				harness.now = 60_000;
			}
		}

		await harness.settle();
		expect(harness.runs).toEqual([]);
		expect(harness.recordState()).toEqual('revoked');
	}
});

// Guards against a second run of a key, and against a lost or invented answer for the repeated request.
test('sidecar answers a repeated key from the run record', async () => {
	const table = new MemoryTable();
	const first = new SidecarHarness(table);
	first.peer(startOf('r.1'));
	await first.settle();
	const second = new SidecarHarness(table, 'e2', 'i2');
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

// Guards against a run without a claim, and against an attempt that waits indefinitely while the table is down.
test('sidecar refuses a non-idempotent call while the table is down', () => {
	const harness = new SidecarHarness();
	harness.peer(startOf('r.1'));
	harness.failTableCalls('unavailable');
	expect(harness.last()).toEqual({
		type: 'refused',
		attempt: 'r.1',
		refusal: {reason: 'claim_unavailable', retryAfterMs: 1000},
	});
	harness.peer(startOf('r.2'));
	harness.failTableCalls('uncertain');
	harness.failTableCalls('unavailable');
	harness.passTime(6000);
	expect(harness.last()).toLooseEqual({
		type: 'refused',
		attempt: 'r.2',
		refusal: {reason: 'claim_unavailable', retryAfterMs: 1000},
	});
	expect(harness.runs).toEqual([]);
});

// Guards against work that runs twice because its entry sent it elsewhere while this process was paused.
test('sidecar does not run what was queued before a pause', () => {
	const harness = new SidecarHarness();
	for (let n = 0; n < 200; n++) {
		harness.peer(startOf(`q${n}.1`, {idempotent: true}));
	}

	const running = harness.runs.length;
	expect(running).toBeLessThan(200);
	harness.now = 4000;
	for (const attempt of harness.runs) {
		harness.answer(attempt);
	}

	expect(harness.runs.length).toEqual(running);
	expect(
		harness.updates.filter((update) => update.type === 'refused').length,
	).toEqual(200 - running);
});

// Guards against a slow caller that makes the buffer grow without bound, and against a stream that stays paused.
test('sidecar pauses and resumes a run by the size of unacknowledged data', () => {
	const harness = new SidecarHarness();
	harness.peer(startOf('r.1', {idempotent: true}));
	const data = 'x'.repeat(windowSize / 4);
	const chunk = {type: 'chunk', data, tokens: 1} as const;
	for (let n = 0; n < 5; n++) {
		harness.send({type: 'endpoint', attempt: 'r.1', event: chunk});
	}

	expect(harness.others).toEqual([{type: 'pauseRun', attempt: 'r.1'}]);
	harness.peer({type: 'credit', attempt: 'r.1', upTo: 2});
	expect(harness.others.length).toEqual(1);
	harness.peer({type: 'credit', attempt: 'r.1', upTo: 3});
	expect(harness.others[1]).toEqual({type: 'resumeRun', attempt: 'r.1'});
});

// Guards against a lost chunk on a new link, and against "not run" for an attempt that ran and was forgotten.
test('sidecar replays kept updates on attach, and reports a forgotten attempt as unknown', () => {
	const harness = new SidecarHarness();
	harness.peer(startOf('r.1', {idempotent: true}));
	harness.send({type: 'linkLost', link: 'l'});
	harness.answer('r.1', 'a', 'b');
	harness.updates.length = 0;
	const attach = {type: 'attach', workspace: 'w', ageMs: 100} as const;
	harness.peer({...attach, attempt: 'r.1', after: 1});
	expect(harness.updates.map((update) => update.type)).toEqual([
		'started',
		'head',
		'chunk',
		'ended',
	]);
	harness.peer({...attach, attempt: 'never.1', after: 0});
	expect(harness.last().type).toEqual('refused');
	harness.peer(startOf('never.1', {idempotent: true}));
	expect(harness.last().type).toEqual('refused');
	harness.passTime(30_000);
	harness.peer({...attach, attempt: 'r.1', after: 0});
	expect(harness.last()).toLooseEqual({
		type: 'ended',
		attempt: 'r.1',
		outcome: 'unknown',
		sequence: 0,
		reason: 'forgotten',
	});
	harness.passTime(100_000);
	harness.peer({...attach, attempt: 'r.1', after: 0, ageMs: 130_000});
	expect(harness.last().type).toEqual('ended');
});
