import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import {
	placementSchema,
	scheduleSchema,
	type TableCall,
} from '../../interfaces/index.js';
import {MemoryTable} from '../../interfaces/standins/index.js';
import {
	CommandGate,
	dueOccurrence,
	Lease,
	leaseMs,
	Lifecycle,
	type LifecycleEffect,
	type LifecycleInput,
} from './index.js';

const start = Date.parse('2026-01-01T06:00:00Z');
const action = {type: 'load', model: 'm', version: '2'} as const;

function schedule(name: string, fields: object) {
	return scheduleSchema.parse({
		schema: 1,
		kind: 'schedule',
		name,
		endpoints: ['e*'],
		startsAt: '2026-01-01T06:00:00Z',
		...fields,
	});
}

/** A lifecycle whose table calls are answered at once; everything else is recorded. */
class Bench {
	readonly effects: LifecycleEffect[] = [];
	readonly machine: Lifecycle;
	readonly #table: MemoryTable;

	constructor(table: MemoryTable, endpoint: string, incarnation = 'i1') {
		this.#table = table;
		const random = new Random(1);
		this.machine = new Lifecycle({endpoint, incarnation, random});
	}

	handle(message: LifecycleInput, now: number): void {
		for (const effect of this.machine.handle(message, now)) {
			if (effect.type === 'table') {
				const answer = this.#table.callNow(effect.call);
				this.handle({type: 'table', id: effect.id, answer}, now);
			} else {
				this.effects.push(effect);
			}
		}
	}

	/** Ticks once a second of monotonic and wall clock. */
	run(from: number, to: number, wallMs = start): void {
		for (let now = from; now <= to; now += 1000) {
			this.handle({type: 'tick', wallMs: wallMs + now - from}, now);
		}
	}

	of<T extends LifecycleEffect['type']>(type: T) {
		return this.effects.filter(
			(effect): effect is Extract<LifecycleEffect, {type: T}> =>
				effect.type === type,
		);
	}

	serve(model: string, serving: readonly string[]): void {
		this.handle({type: 'engineUp', loaded: [`${model}@1`]}, 0);
		this.handle({type: 'warmed'}, 0);
		const view = {model, hasDemand: true, serving};
		this.handle({type: 'models', models: [view]}, 0);
	}
}

// Guards against loading without a grant of the weight store or without a lease.
test('a placed model is reserved, loaded under a token, warmed and served', () => {
	const bench = new Bench(new MemoryTable(), 'e1');
	const placement = placementSchema.parse({
		schema: 1,
		kind: 'placement',
		name: 'p',
		model: 'm',
		version: '2',
		bytes: 9,
		endpoints: ['e1'],
	});
	const records = {type: 'records', schedules: []} as const;
	bench.handle({...records, placements: [placement]}, 0);
	bench.handle({type: 'engineUp', loaded: []}, 0);
	const [reserve] = bench.of('reserve');
	expect(reserve?.bytes).toEqual(9);
	bench.handle({type: 'grant', id: reserve!.id, waitMs: 5000}, 0);
	bench.run(0, 4000);
	expect(bench.of('command')).toEqual([]);
	bench.run(5000, 5000);
	bench.handle({type: 'grant', id: reserve!.id, waitMs: 0}, 5000);
	const [command] = bench.of('command');
	expect(command?.command).toEqual({...action, fencingToken: 1});
	bench.handle({type: 'commandEnded', id: command!.id, result: 'done'}, 6000);
	bench.handle({type: 'warmed'}, 7000);
	expect(bench.of('targets').at(-1)?.models).toEqual(['m']);
	expect(bench.machine.state).toEqual('serving');
});

// Guards against a schedule that fires again after a clock step or a restart.
test('a schedule fires once over a clock step and a restart', () => {
	const table = new MemoryTable();
	const load = schedule('s', {action, everyMinutes: 60});
	const records = {type: 'records', schedules: [load], placements: []} as const;
	const first = new Bench(table, 'e1');
	first.handle(records, 0);
	first.run(0, 5000);
	first.run(6000, 9000, start - 60_000);
	first.run(10_000, 15_000);
	const second = new Bench(table, 'e1', 'i2');
	second.handle(records, 0);
	second.run(0, 5000);
	const fired = [...first.of('log'), ...second.of('log')];
	expect(fired.length).toEqual(1);
});

// Guards against old occurrences that fire on a new endpoint, or after the schedule's end.
test('occurrences are due from their time, for half a day, until the end', () => {
	const once = schedule('s', {action});
	expect(dueOccurrence(once, start - 1)).toEqual(undefined);
	expect(dueOccurrence(once, start)).toEqual('2026-01-01T06:00:00.000Z');
	expect(dueOccurrence(once, start + 13 * 3_600_000)).toEqual(undefined);
	const hourly = schedule('s', {
		action,
		everyMinutes: 60,
		endsAt: '2026-01-01T08:00:00Z',
	});
	const third = dueOccurrence(hourly, start + 150 * 60_000);
	expect(third).toEqual('2026-01-01T07:00:00.000Z');
});

// Guards against the removal of the last endpoint that serves a model with demand.
test('the last serving endpoint stays unless the operator forces it', () => {
	for (const force of [false, true]) {
		const table = new MemoryTable();
		const stop = schedule('s', {action: {type: 'stop'}, force});
		const records = {
			type: 'records',
			schedules: [stop],
			placements: [],
		} as const;
		const one = new Bench(table, 'e1');
		const two = new Bench(table, 'e2');
		for (const bench of [one, two]) {
			bench.serve('m', ['e1', 'e2']);
			bench.handle(records, 0);
		}

		one.run(0, 3000);
		two.run(0, 3000);
		expect(one.of('leave').length).toEqual(1);
		expect(two.of('leave').length).toEqual(force ? 1 : 0);
	}
});

function step(lease: Lease, table: MemoryTable, now: number): void {
	const call = lease.next(now);
	if (call.type !== 'wait') {
		lease.onAnswer(table.callNow(call satisfies TableCall), now);
	}
}

// Guards against two owners at once, and an owner that acts after a pause without renewal.
test('a lease passes on only after its time, and a paused owner loses it', () => {
	const table = new MemoryTable();
	const first = new Lease('e', 'a');
	const second = new Lease('e', 'b');
	step(first, table, 0);
	step(first, table, 0);
	expect(first.token(1)).toEqual(1);
	step(second, table, 1000);
	step(second, table, 1000);
	expect(second.token(1000)).toEqual(undefined);
	const passedOn = 1000 + leaseMs;
	expect(first.token(passedOn - 1)).toEqual(undefined);
	step(second, table, passedOn);
	expect(second.token(passedOn)).toEqual(2);
	step(first, table, passedOn + 1);
	expect(first.token(passedOn + 1)).toEqual(undefined);
});

// Guards against a gate with empty memory, or a late command, that lets an older token through.
test('the gate refuses older tokens and everything before it knows one', () => {
	const gate = new CommandGate();
	expect(gate.accept(5)).toEqual(false);
	gate.raise(4);
	expect([gate.accept(3), gate.accept(5), gate.accept(4)]).toEqual([
		false,
		true,
		false,
	]);
});
