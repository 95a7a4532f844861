import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import {
	runKey,
	type EntryToSidecar,
	type SidecarToEntry,
	type Update,
} from '../../interfaces/index.js';
import {MemoryTable} from '../../interfaces/standins/index.js';
import {
	claimOperation,
	completionOperation,
	type Claimant,
} from '../run-records/index.js';
import type {EndpointView} from '../records/index.js';
import {Entry} from './entry.js';
import type {CallerRequest, EntryEffect, EntryMessage} from './message.js';

function endpointsNamed(...names: string[]): EndpointView[] {
	return names.map((name) => ({
		name,
		type: 'engine',
		dataCentre: 'bole',
		region: 'addis',
		address: name,
		leaving: false,
	}));
}

function requestOf(overrides?: Partial<CallerRequest>): CallerRequest {
	return {
		id: 'r',
		profile: {
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
			target: 'm',
			kind: 'model',
			promptTokens: 10,
			prefix: [],
		},
		call: {method: 'POST', path: '/', headers: {}, body: ''},
		idempotent: true,
		resumable: false,
		timeoutMs: 20_000,
		endpoints: endpointsNamed('a', 'b'),
		...overrides,
	};
}

const nonIdempotent = {idempotent: false, idempotencyKey: 'k'};
const recordKey = runKey('w', 'k');

type Sent = {endpoint: string; message: EntryToSidecar};

/** An entry with scripted sidecars, each of which accepts every offer at once. */
class Bench {
	readonly entry = new Entry({
		locality: {dataCentre: 'bole', region: 'addis'},
		random: new Random(1),
		textOf: (chunks) => chunks.join(''),
	});

	readonly table = new MemoryTable();
	readonly sent: Sent[] = [];
	readonly effects: EntryEffect[] = [];
	isTableDown = false;
	hasLostOffers = false;
	now = 0;

	send(message: EntryMessage): void {
		for (const effect of this.entry.handle(message, this.now)) {
			if (effect.type === 'send') {
				this.#onSend(effect);
			} else if (effect.type === 'table') {
				this.#onTable(effect);
			} else {
				this.effects.push(effect);
			}
		}
	}

	update(endpoint: string, update: Update): void {
		this.peer(endpoint, {type: 'update', update});
	}

	peer(endpoint: string, message: SidecarToEntry): void {
		this.send({type: 'peer', endpoint, message});
	}

	passTime(ms: number): void {
		const end = this.now + ms;
		for (;;) {
			const wake = this.entry.nextWake();
			if (wake === undefined || wake > end) {
				break;
			}

			this.now = Math.max(this.now, wake);
			this.send({type: 'tick'});
		}

		this.now = end;
	}

	/** Starts a request and returns the endpoint of its attempt. */
	begin(overrides?: Partial<CallerRequest>): string {
		const request = requestOf(overrides);
		for (const {name} of request.endpoints) {
			this.send({type: 'linkUp', endpoint: name, incarnation: `${name}1`});
		}

		this.send({type: 'request', request});
		return this.last('start').endpoint;
	}

	chunk(endpoint: string, sequence: number, attempt = 'r.1'): void {
		const data = `t${sequence} `;
		this.update(endpoint, {type: 'chunk', attempt, sequence, data, tokens: 1});
	}

	last<T extends EntryToSidecar['type']>(
		type: T,
	): {endpoint: string; message: Extract<EntryToSidecar, {type: T}>} {
		return this.sent.findLast(
			(
				sent,
			): sent is {
				endpoint: string;
				message: Extract<EntryToSidecar, {type: T}>;
			} => sent.message.type === type,
		)!;
	}

	count(type: EntryToSidecar['type']): number {
		return this.sent.filter(({message}) => message.type === type).length;
	}

	end(): Extract<EntryEffect, {type: 'end'}> | undefined {
		return this.effects.find((effect) => effect.type === 'end');
	}

	text(): string {
		return this.effects
			.map((effect) => (effect.type === 'chunk' ? effect.data : ''))
			.join('');
	}

	#onSend({endpoint, message}: Sent): void {
		this.sent.push({endpoint, message});
		if (message.type === 'offer' && !this.hasLostOffers) {
			const reply = {type: 'accept', firstTokenMs: 1, cachedTokens: 0} as const;
			this.peer(endpoint, {type: 'offerReply', id: message.id, reply});
		}
	}

	#onTable({id, call}: Extract<EntryEffect, {type: 'table'}>): void {
		if (this.isTableDown || call.type === 'scan') {
			return;
		}

		const answer =
			call.type === 'commit'
				? ({
						type: 'decision',
						decision: this.table.commitSync(call.transaction),
					} as const)
				: ({type: 'row', row: this.table.rowSync(call.key)} as const);
		this.send({type: 'table', id, answer});
	}
}

const started = {type: 'started', attempt: 'r.1'} as const;
const refused = {
	type: 'refused',
	attempt: 'r.1',
	refusal: {reason: 'cancelled', retryAfterMs: 0},
} as const;

/** Writes a run record of the request's first attempt into the table: its claim, or its completion. */
function writeRunRecord(table: MemoryTable, isCompleted: boolean): void {
	const claimant: Claimant = {
		attempt: 'r.1',
		requestId: 'r',
		endpoint: 'a',
		incarnation: 'a1',
		fingerprint: '',
		endsBy: 0,
	};
	const base = {
		id: '',
		key: recordKey,
		known: {type: 'absent'},
		giveUpAt: 1,
		persistent: false,
		wallNow: 0,
	} as const;
	const claim = claimOperation(base, claimant, []).decide({type: 'absent'});
	if (claim.type !== 'write' || !claim.record) {
		return;
	}

	const completion = completionOperation(base, claimant, {
		outcome: 'completed',
		status: 201,
		answer: {headers: {}, binary: false, chunks: ['t1 ', 't2 ', 't3 ']},
	}).decide({type: 'present', record: claim.record, revision: 1});
	const step = isCompleted ? completion : claim;
	const value = step.type === 'write' ? JSON.stringify(step.record) : null;
	table.commitSync({checks: [], writes: [{key: recordKey, value}]});
}

// Guards against a second start, and against lost or repeated chunks, when a link is lost and reopened.
test('entry reattaches to the same incarnation', () => {
	const bench = new Bench();
	const endpoint = bench.begin();
	bench.chunk(endpoint, 1);
	bench.send({type: 'linkLost', endpoint});
	expect(bench.last('attach').message.after).toEqual(1);
	bench.passTime(1000);
	bench.send({type: 'linkUp', endpoint, incarnation: `${endpoint}1`});
	for (const sequence of [1, 2, 3]) {
		bench.chunk(endpoint, sequence);
	}

	bench.passTime(5000);
	const ended = {type: 'ended', attempt: 'r.1', reason: ''} as const;
	bench.update(endpoint, {...ended, outcome: 'completed', sequence: 3});
	expect(bench.text()).toEqual('t1 t2 t3 ');
	expect(bench.end()?.outcome).toEqual('completed');
	expect(bench.count('start')).toEqual(1);
});

// Guards against an answer that is lost, repeated or restarted when its endpoint crashes midway.
test('entry continues an idempotent answer at another endpoint', () => {
	for (const isRestart of [true, false]) {
		const bench = new Bench();
		const endpoint = bench.begin();
		bench.chunk(endpoint, 1);
		bench.chunk(endpoint, 2);
		bench.send({type: 'linkLost', endpoint});
		if (isRestart) {
			bench.send({type: 'linkUp', endpoint, incarnation: 'other'});
		} else {
			bench.passTime(3000);
		}

		const next = bench.last('start');
		expect(next.endpoint === endpoint).toEqual(false);
		expect(next.message.resume).toEqual({
			sequence: 2,
			text: 't1 t2 ',
			tokens: 2,
		});
		bench.chunk(endpoint, 3);
		bench.chunk(next.endpoint, 3, 'r.2');
		expect(bench.text()).toEqual('t1 t2 t3 ');
	}
});

// Guards against a crash of the entry on an error body, which holds no generated text to continue from.
test('entry does not continue an error answer', () => {
	const bench = new Bench();
	const endpoint = bench.begin();
	const head = {type: 'head', attempt: 'r.1', status: 400} as const;
	bench.update(endpoint, {...head, headers: {}, binary: false});
	bench.chunk(endpoint, 1);
	bench.send({type: 'linkLost', endpoint});
	bench.passTime(3000);
	expect(bench.end()?.outcome).toEqual('failed');
	expect(bench.count('start')).toEqual(1);
});

// Guards against chunks that are missing from an answer without being detected.
test('entry requests missing chunks again', () => {
	const bench = new Bench();
	const endpoint = bench.begin();
	bench.chunk(endpoint, 1);
	bench.chunk(endpoint, 3);
	bench.chunk(endpoint, 4);
	expect(bench.count('attach')).toEqual(1);
	for (const sequence of [2, 3, 4]) {
		bench.chunk(endpoint, sequence);
	}

	const ended = {type: 'ended', attempt: 'r.1', reason: ''} as const;
	bench.update(endpoint, {...ended, outcome: 'completed', sequence: 5});
	expect(bench.end()).toEqual(undefined);
	expect(bench.last('attach').message.after).toEqual(4);
});

// Guards against "not_run" without proof, and against "unknown" where the run record holds the outcome.
test('entry resolves a lost non-idempotent attempt from its run record', () => {
	const unclaimed = new Bench();
	const endpoint = unclaimed.begin(nonIdempotent);
	unclaimed.send({type: 'linkLost', endpoint});
	unclaimed.passTime(3000);
	const next = unclaimed.last('start');
	expect(next.message.attempt).toEqual('r.2');
	expect(next.message.superseded).toEqual(['r.1']);
	expect(
		unclaimed.table.rowSync(recordKey)?.value.includes('"revoked"'),
	).toEqual(true);

	const claimed = new Bench();
	writeRunRecord(claimed.table, false);
	claimed.send({type: 'linkLost', endpoint: claimed.begin(nonIdempotent)});
	claimed.passTime(3000);
	expect(claimed.end()?.outcome).toEqual('unknown');
	expect(claimed.count('start')).toEqual(1);

	const completed = new Bench();
	writeRunRecord(completed.table, true);
	const failing = completed.begin(nonIdempotent);
	completed.chunk(failing, 1);
	completed.send({type: 'linkLost', endpoint: failing});
	completed.passTime(3000);
	expect(completed.text()).toEqual('t1 t2 t3 ');
	expect(completed.end()?.outcome).toEqual('completed');

	const tableDown = new Bench();
	tableDown.isTableDown = true;
	tableDown.send({
		type: 'linkLost',
		endpoint: tableDown.begin(nonIdempotent),
	});
	tableDown.passTime(5000);
	expect(tableDown.end()?.outcome).toEqual('unknown');
	expect(tableDown.count('start')).toEqual(1);
});

// Guards against a wrong outcome, and against a long wait, when a request reaches its timeout.
test('entry reports the proved outcome at a timeout', () => {
	const proved = new Bench();
	const endpoint = proved.begin({...nonIdempotent, timeoutMs: 1000});
	proved.passTime(1000);
	expect(proved.end()).toEqual(undefined);
	proved.update(endpoint, refused);
	expect(proved.end()?.outcome).toEqual('not_run');

	const running = new Bench();
	running.update(running.begin({...nonIdempotent, timeoutMs: 1000}), started);
	running.passTime(1000);
	expect(running.end()?.outcome).toEqual('unknown');

	const unanswered = new Bench();
	unanswered.begin({timeoutMs: 1000});
	unanswered.passTime(1500);
	expect(unanswered.end()?.outcome).toEqual('unknown');

	const revoked = new Bench();
	revoked.begin({...nonIdempotent, timeoutMs: 1000});
	revoked.passTime(1500);
	expect(revoked.end()?.outcome).toEqual('not_run');
});

// Guards against an endless loop of wake-ups when a link is lost while the entry waits for a cancelled attempt.
test('entry ends a cancelled attempt whose link is lost', () => {
	for (const isNonIdempotent of [true, false]) {
		const bench = new Bench();
		const endpoint = bench.begin({
			...(isNonIdempotent ? nonIdempotent : {}),
			timeoutMs: 1000,
		});
		bench.passTime(1100);
		bench.send({type: 'linkLost', endpoint});
		expect(bench.end()?.outcome).toEqual(
			isNonIdempotent ? 'not_run' : 'unknown',
		);
		expect(bench.entry.nextWake()).toEqual(undefined);
	}
});

// Guards against an answer that is cut off because the other endpoints do not accept it for a moment.
test('entry keeps searching for an endpoint to continue an answer', () => {
	const bench = new Bench();
	const endpoint = bench.begin();
	bench.chunk(endpoint, 1);
	bench.hasLostOffers = true;
	bench.send({type: 'linkLost', endpoint});
	bench.passTime(6000);
	expect(bench.end()).toEqual(undefined);
	bench.hasLostOffers = false;
	bench.passTime(600);
	expect(bench.last('start').message.resume?.sequence).toEqual(1);
	bench.hasLostOffers = true;
	bench.update(bench.last('start').endpoint, {
		type: 'ended',
		attempt: 'r.2',
		outcome: 'failed',
		sequence: 1,
		reason: 'crash',
	});
	bench.passTime(6000);
	expect(bench.end()?.failure?.code).toEqual('answer_cut');
});

// Guards against a tier 0 request that waits for a straggler, and against a losing attempt that keeps running.
test('entry hedges a late first token and cancels the loser', () => {
	for (const isHedgeFaster of [true, false]) {
		const bench = new Bench();
		const endpoint = bench.begin();
		bench.update(endpoint, started);
		bench.passTime(249);
		expect(bench.count('start')).toEqual(1);
		bench.passTime(1);
		const hedge = bench.last('start');
		expect(hedge.message.attempt).toEqual('r.2');
		if (isHedgeFaster) {
			bench.chunk(hedge.endpoint, 1, 'r.2');
			bench.chunk(endpoint, 1);
			expect(bench.last('cancel').message.attempt).toEqual('r.1');
		} else {
			bench.chunk(endpoint, 1);
			bench.chunk(hedge.endpoint, 1, 'r.2');
			expect(bench.last('cancel').message.attempt).toEqual('r.2');
		}

		expect(bench.text()).toEqual('t1 ');
	}

	const bench = new Bench();
	bench.begin(nonIdempotent);
	bench.passTime(5000);
	expect(bench.count('start')).toEqual(1);
});

// Guards against retries and hedges that multiply the load when all endpoints are slow.
test('hedges are limited by the retry budget', () => {
	const bench = new Bench();
	for (let n = 0; n < 300; n++) {
		bench.begin({id: `r${n}`});
	}

	bench.passTime(5000);
	expect(bench.count('start')).toEqual(400);
});

// Guards against "not_run" for a request with an earlier attempt that was lost.
test('a lost attempt affects the outcome when no endpoint is left', () => {
	for (const isStarted of [true, false]) {
		const bench = new Bench();
		const endpoint = bench.begin({endpoints: endpointsNamed('a')});
		if (isStarted) {
			bench.update(endpoint, started);
		}

		bench.send({type: 'linkLost', endpoint});
		bench.hasLostOffers = true;
		bench.passTime(4000);
		expect(bench.end()?.outcome).toEqual(isStarted ? 'failed' : 'unknown');
	}
});

// Guards against refusing a request before every endpoint that might accept was sent an offer.
test('entry sends offers to every eligible endpoint, up to 16, before it refuses', () => {
	for (const count of [1, 5, 16, 20]) {
		const names = Array.from({length: count}, (_, n) => `e${n}`);
		const entry = new Entry({
			locality: {dataCentre: 'bole', region: 'addis'},
			random: new Random(count),
			textOf: (chunks) => chunks.join(''),
		});
		const request = requestOf({endpoints: endpointsNamed(...names)});
		const pending = entry.handle({type: 'request', request}, 0);
		const asked = new Set<string>();
		for (let effect = pending.shift(); effect; effect = pending.shift()) {
			if (effect.type === 'send') {
				const {endpoint} = effect;
				asked.add(endpoint);
				const refusal = {reason: 'overloaded', retryAfterMs: 5} as const;
				const message = {
					type: 'offerReply',
					id: 'r',
					reply: {type: 'refuse', refusal},
				} as const;
				pending.push(...entry.handle({type: 'peer', endpoint, message}, 0));
			} else if (effect.type === 'end') {
				expect(effect.outcome).toEqual('not_run');
				expect(asked.size).toEqual(Math.min(16, count));
			}
		}
	}
});
