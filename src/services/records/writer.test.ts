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
	RecordWriter,
	type Edit,
	type WriteResult,
	type WriterEffect,
} from './index.js';

type Fault = 'unavailable' | 'lostAnswer' | 'lostCall';

/** A writer whose table calls are answered at once; each commit takes the next of `faults`. */
class WriterHarness {
	readonly table = new MemoryTable();
	readonly writer = new RecordWriter(new Random(7));
	readonly results = new Map<string, WriteResult>();
	faults: Array<Fault | undefined> = [];
	/** Runs before each commit, for a race with another operator. */
	beforeCommit: (() => void) | undefined;
	#now = 0;

	write(id: string, operator: string, edits: readonly Edit[]): WriteResult {
		this.#execute(
			this.writer.handle({type: 'write', id, operator, edits}, this.#now),
		);
		return this.runToResult(id);
	}

	runToResult(id: string): WriteResult {
		for (let tick = 0; tick < 100 && !this.results.has(id); tick++) {
			this.#now = this.writer.nextWake() ?? this.#now;
			this.#execute(this.writer.handle({type: 'tick'}, this.#now));
		}

		const result = this.results.get(id);
		assert.ok(result, `write ${id} has no result`);
		return result;
	}

	settle(id: string, revision: number): WriteResult {
		this.results.delete(id);
		this.#execute(
			this.writer.handle({type: 'settle', id, revision}, this.#now),
		);
		return this.runToResult(id);
	}

	#execute(effects: readonly WriterEffect[]): void {
		for (const effect of effects) {
			if (effect.type === 'result') {
				this.results.set(effect.id, effect.result);
			} else if (effect.type === 'table') {
				const answer = this.#callTable(effect.call);
				const message = {type: 'table', id: effect.id, answer} as const;
				this.#execute(this.writer.handle(message, this.#now));
			}
		}
	}

	#callTable(call: TableCall): TableAnswer {
		if (call.type !== 'commit') {
			return this.table.callSync(call);
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
				this.table.callSync(call);
				return {type: 'uncertain'};
			}

			case undefined: {
				return this.table.callSync(call);
			}
		}
	}
}

function term(name: string, fields: object): Edit {
	const record = {schema: 1, kind: 'term', name, ...fields};
	return {kind: 'term', name, record};
}

function classRecord(value: number, fields: object = {}): VersionedFields {
	const targets = {tier: value, firstTokenMs: 660, gapMs: 32};
	return {schema: 1, kind: 'class', name: 'letters', ...targets, ...fields};
}

function classEdit(value: number, expected?: number): Edit {
	return {kind: 'class', name: 'letters', record: classRecord(value), expected};
}

function startedHarness(): WriterHarness {
	const harness = new WriterHarness();
	const first = harness.write('w0', 'abay', [
		term('abay', {startsAtRevision: 1}),
	]);
	expect(first).toEqual({type: 'accepted', revision: 1});
	return harness;
}

// Guards against a write by an operator without a term.
test('an operator without a term is refused', () => {
	const result = startedHarness().write('w1', 'other', [classEdit(1)]);
	expect(result).toEqual({
		type: 'noTerm',
		operator: 'other',
		revision: 2,
		reason: 'missing',
	});
});

// Guards against a handover after which the former operator can still write, or no operator can.
test('a term ends at its last revision and the successor writes from the next', () => {
	const harness = startedHarness();
	const withoutSuccessor = harness.write('w1', 'abay', [
		term('abay', {startsAtRevision: 1, endsAtRevision: 3, successor: 'baro'}),
	]);
	expect(withoutSuccessor.type).toEqual('invalid');
	const handover = harness.write('w2', 'abay', [
		term('abay', {startsAtRevision: 1, endsAtRevision: 3, successor: 'baro'}),
		term('baro', {startsAtRevision: 4}),
	]);
	expect(handover).toEqual({type: 'accepted', revision: 2});
	expect(harness.write('w3', 'baro', [classEdit(1)]).type).toEqual('noTerm');
	expect(harness.write('w4', 'abay', [classEdit(1)]).type).toEqual('accepted');
	expect(harness.write('w5', 'abay', [classEdit(2)])).toEqual({
		type: 'noTerm',
		operator: 'abay',
		revision: 4,
		reason: 'ended',
		endsAtRevision: 3,
	});
	expect(harness.write('w6', 'baro', [classEdit(2)]).type).toEqual('accepted');
	const reopened = harness.write('w7', 'baro', [
		term('abay', {startsAtRevision: 1}),
	]);
	expect(reopened.type).toEqual('invalid');
});

// Guards against an overwrite of another write without a conflict, and a conflict that does not name the other write.
test('a conflict holds both records and the write in force', () => {
	const harness = startedHarness();
	harness.write('w1', 'abay', [classEdit(1)]);
	harness.write('w2', 'abay', [classEdit(2, 2)]);
	expect(harness.write('w3', 'abay', [classEdit(3, 2)])).toEqual({
		type: 'conflict',
		key: 'record/class/letters',
		mine: classRecord(3),
		theirs: {
			...classRecord(2),
			meta: {revision: 3, operator: 'abay', writeId: 'w2'},
		},
		winner: {revision: 3, operator: 'abay', writeId: 'w2'},
	});
	harness.write('w4', 'abay', [{kind: 'class', name: 'letters', record: null}]);
	const afterDelete = harness.write('w5', 'abay', [classEdit(3, 3)]);
	assert.ok(afterDelete.type === 'conflict');
	expect(afterDelete.winner?.writeId).toEqual('w4');
});

// Guards against an overwrite of another write that commits between the read and the commit of this one.
test('a write whose record changes before its commit is a conflict', () => {
	const harness = startedHarness();
	harness.beforeCommit = () => {
		harness.beforeCommit = undefined;
		expect(harness.write('w2', 'abay', [classEdit(2)]).type).toEqual(
			'accepted',
		);
	};

	expect(harness.write('w1', 'abay', [classEdit(1)]).type).toEqual('conflict');
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
for (const [name, commitFaults, type, isCommitted] of faults) {
	// Guards against a write with a lost answer that is reported as accepted or not accepted while its effect is unknown, or that is written twice.
	test(`uncertain write: ${name}`, () => {
		const harness = startedHarness();
		harness.faults = [...commitFaults];
		const result = harness.write('w1', 'abay', [classEdit(1)]);
		expect(result.type).toEqual(type);
		expect(harness.table.readSync(logKey(2)) !== undefined).toEqual(
			isCommitted,
		);
		expect(harness.table.readSync(logKey(3))).toEqual(undefined);
		harness.faults = [];
		expect(harness.settle('w1', 2).type).toEqual(
			isCommitted ? 'accepted' : 'unknown',
		);
	});
}

// Guards against a lost commit that is reported as accepted although another write got its revision.
test('a lost commit whose revision another write got is a conflict', () => {
	const harness = startedHarness();
	harness.faults = ['lostCall'];
	let commits = 0;
	harness.beforeCommit = () => {
		if (++commits === 2) {
			harness.write('w2', 'abay', [classEdit(2)]);
		}
	};

	const result = harness.write('w1', 'abay', [classEdit(1)]);
	assert.ok(result.type === 'conflict');
	expect(result.winner?.writeId).toEqual('w2');
	expect(harness.settle('w1', 2).type).toEqual('notAccepted');
});

// Guards against an older writer that drops fields of a later schema version.
test('fields of a later version survive a write', () => {
	const harness = startedHarness();
	harness.write('w1', 'abay', [classEdit(1)]);
	const key = recordKey({kind: 'class', name: 'letters'});
	const meta = {revision: 2, operator: 'abay', writeId: 'w1'};
	const later = classRecord(1, {schema: 2, burst: 5, meta});
	harness.table.commitSync({
		checks: [],
		writes: [{key, value: JSON.stringify(later)}],
	});
	harness.write('w2', 'abay', [classEdit(2)]);
	expect(JSON.parse(harness.table.readSync(key)!.value)).toEqual({
		...classRecord(2, {schema: 2, burst: 5}),
		meta: {revision: 3, operator: 'abay', writeId: 'w2'},
	});
});
