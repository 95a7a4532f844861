import assert from 'node:assert/strict';
import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import {
	logKey,
	recordKey,
	type TableAnswer,
	type TableCall,
	type VersionedFields,
} from '../../interfaces/index.js';
import {MemoryTable} from '../../interfaces/standins/index.js';
import {
	Writer,
	type Edit,
	type WriteResult,
	type WriterEffect,
} from './index.js';

type Fault = 'unavailable' | 'lostAnswer' | 'lostCall';

/** Answers a writer's table calls at once; `faults` apply to the commits in turn. */
class Bench {
	readonly table = new MemoryTable();
	readonly writer = new Writer(new Random(7));
	readonly results = new Map<string, WriteResult>();
	faults: Array<Fault | undefined> = [];
	/** Runs before each commit, for a race with another operator. */
	beforeCommit: (() => void) | undefined;
	#now = 0;

	write(id: string, operator: string, edits: readonly Edit[]): WriteResult {
		this.#carryOut(
			this.writer.handle({type: 'write', id, operator, edits}, this.#now),
		);
		return this.finish(id);
	}

	finish(id: string): WriteResult {
		for (let n = 0; n < 100 && !this.results.has(id); n++) {
			this.#now = this.writer.nextWake() ?? this.#now;
			this.#carryOut(this.writer.handle({type: 'tick'}, this.#now));
		}

		const result = this.results.get(id);
		assert.ok(result, `write ${id} has no result`);
		return result;
	}

	settle(id: string, revision: number): WriteResult {
		this.results.delete(id);
		this.#carryOut(
			this.writer.handle({type: 'settle', id, revision}, this.#now),
		);
		return this.finish(id);
	}

	#carryOut(effects: readonly WriterEffect[]): void {
		for (const effect of effects) {
			if (effect.type === 'result') {
				this.results.set(effect.id, effect.result);
			} else if (effect.type === 'table') {
				const answer = this.#answer(effect.call);
				const message = {type: 'table', id: effect.id, answer} as const;
				this.#carryOut(this.writer.handle(message, this.#now));
			}
		}
	}

	#answer(call: TableCall): TableAnswer {
		if (call.type !== 'commit') {
			return this.table.callNow(call);
		}

		this.beforeCommit?.();
		const fault = this.faults.shift();
		switch (fault) {
			case 'unavailable': {
				return {type: 'unavailable'};
			}

			case 'lostCall': {
				return {type: 'uncertain'};
			}

			case 'lostAnswer': {
				this.table.callNow(call);
				return {type: 'uncertain'};
			}

			case undefined: {
				return this.table.callNow(call);
			}
		}
	}
}

function term(name: string, fields: object): Edit {
	const record = {schema: 1, kind: 'term', name, ...fields};
	return {kind: 'term', name, record};
}

function tier(value: number, fields: object = {}): VersionedFields {
	const targets = {tier: value, firstTokenMs: 660, gapMs: 32};
	return {schema: 1, kind: 'class', name: 'letters', ...targets, ...fields};
}

function letters(value: number, expected?: number): Edit {
	return {kind: 'class', name: 'letters', record: tier(value), expected};
}

function started(): Bench {
	const bench = new Bench();
	const first = bench.write('w0', 'abay', [
		term('abay', {startsAtRevision: 1}),
	]);
	expect(first).toEqual({type: 'accepted', revision: 1});
	return bench;
}

// Guards against a write of somebody without a term.
test('an operator without a term is refused', () => {
	const result = started().write('w1', 'other', [letters(1)]);
	expect(result).toEqual({
		type: 'noTerm',
		operator: 'other',
		revision: 2,
		reason: 'missing',
	});
});

// Guards against a handover in which the former operator still writes, or nobody can.
test('a term ends at its revision and the successor goes on', () => {
	const bench = started();
	const alone = bench.write('w1', 'abay', [
		term('abay', {startsAtRevision: 1, endsAtRevision: 3, successor: 'baro'}),
	]);
	expect(alone.type).toEqual('invalid');
	const handover = bench.write('w2', 'abay', [
		term('abay', {startsAtRevision: 1, endsAtRevision: 3, successor: 'baro'}),
		term('baro', {startsAtRevision: 4}),
	]);
	expect(handover).toEqual({type: 'accepted', revision: 2});
	expect(bench.write('w3', 'baro', [letters(1)]).type).toEqual('noTerm');
	expect(bench.write('w4', 'abay', [letters(1)]).type).toEqual('accepted');
	expect(bench.write('w5', 'abay', [letters(2)])).toEqual({
		type: 'noTerm',
		operator: 'abay',
		revision: 4,
		reason: 'ended',
		endsAtRevision: 3,
	});
	expect(bench.write('w6', 'baro', [letters(2)]).type).toEqual('accepted');
	const reopened = bench.write('w7', 'baro', [
		term('abay', {startsAtRevision: 1}),
	]);
	expect(reopened.type).toEqual('invalid');
});

// Guards against a silent overwrite, and a loser that is not told who won.
test('the loser of a race sees both sides and the winner', () => {
	const bench = started();
	bench.write('w1', 'abay', [letters(1)]);
	bench.write('w2', 'abay', [letters(2, 2)]);
	expect(bench.write('w3', 'abay', [letters(3, 2)])).toEqual({
		type: 'conflict',
		key: 'record/class/letters',
		mine: tier(3),
		theirs: {
			...tier(2),
			meta: {revision: 3, operator: 'abay', writeId: 'w2'},
		},
		winner: {revision: 3, operator: 'abay', writeId: 'w2'},
	});
	bench.write('w4', 'abay', [{kind: 'class', name: 'letters', record: null}]);
	const afterDelete = bench.write('w5', 'abay', [letters(3, 3)]);
	assert.ok(afterDelete.type === 'conflict');
	expect(afterDelete.winner?.writeId).toEqual('w4');
});

// Guards against a race between reading and committing that overwrites the other write.
test('a write that is overtaken before its commit is a conflict', () => {
	const bench = started();
	bench.beforeCommit = () => {
		bench.beforeCommit = undefined;
		expect(bench.write('w2', 'abay', [letters(2)]).type).toEqual('accepted');
	};

	expect(bench.write('w1', 'abay', [letters(1)]).type).toEqual('conflict');
});

const faults: Array<[string, Fault[], WriteResult['type'], boolean]> = [
	['answer lost', ['lostAnswer'], 'accepted', true],
	['call lost', ['lostCall'], 'accepted', true],
	[
		'call lost, then unavailable',
		['lostCall', 'unavailable'],
		'accepted',
		true,
	],
	[
		'always unavailable',
		Array.from({length: 9}, () => 'unavailable'),
		'notAccepted',
		false,
	],
	['always lost', Array.from({length: 9}, () => 'lostCall'), 'unknown', false],
];
for (const [name, list, type, inForce] of faults) {
	// Guards against a lost answer that is reported as success or failure without proof, or that is written twice.
	test(`uncertain write: ${name}`, () => {
		const bench = started();
		bench.faults = [...list];
		const result = bench.write('w1', 'abay', [letters(1)]);
		expect(result.type).toEqual(type);
		expect(bench.table.readNow(logKey(2)) !== undefined).toEqual(inForce);
		expect(bench.table.readNow(logKey(3))).toEqual(undefined);
		bench.faults = [];
		expect(bench.settle('w1', 2).type).toEqual(
			inForce ? 'accepted' : 'unknown',
		);
	});
}

// Guards against a lost commit that loses its revision to another operator and is taken for accepted.
test('a lost commit whose revision another write took is a conflict', () => {
	const bench = started();
	bench.faults = ['lostCall'];
	let commits = 0;
	bench.beforeCommit = () => {
		if (++commits === 2) {
			bench.write('w2', 'abay', [letters(2)]);
		}
	};

	const result = bench.write('w1', 'abay', [letters(1)]);
	assert.ok(result.type === 'conflict');
	expect(result.winner?.writeId).toEqual('w2');
	expect(bench.settle('w1', 2).type).toEqual('notAccepted');
});

// Guards against fields of a later schema version that an older writer drops.
test('fields of a later version survive a write', () => {
	const bench = started();
	bench.write('w1', 'abay', [letters(1)]);
	const key = recordKey({kind: 'class', name: 'letters'});
	const meta = {revision: 2, operator: 'abay', writeId: 'w1'};
	const later = tier(1, {schema: 2, burst: 5, meta});
	bench.table.commitNow({
		checks: [],
		writes: [{key, value: JSON.stringify(later)}],
	});
	bench.write('w2', 'abay', [letters(2)]);
	expect(JSON.parse(bench.table.readNow(key)!.value)).toEqual({
		...tier(2, {schema: 2, burst: 5}),
		meta: {revision: 3, operator: 'abay', writeId: 'w2'},
	});
});
