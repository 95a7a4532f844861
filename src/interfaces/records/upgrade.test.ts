import assert from 'node:assert/strict';
import {test} from 'node:test';
import {expect} from 'earl';
import {
	isRecordKind,
	mergeRecord,
	decodeRecord,
	upgradePaths,
	upgradeRecord,
	type RecordKind,
	type UpgradePaths,
	type VersionedFields,
} from './index.js';

const hash = 'a'.repeat(64);
const samples = {
	workspace: {keyHashes: [hash], classes: ['letters']},
	class: {tier: 1, firstTokenMs: 660, gapMs: 32},
	rule: {target: 'm', targetKind: 'model', endpoints: ['engine-*']},
	endpoint: {type: 'engine', dataCentre: 'bole', region: 'addis'},
	schedule: {
		endpoints: ['engine-1'],
		action: {type: 'load', model: 'm', version: '2'},
		startsAt: '2026-01-01T06:00:00Z',
	},
	placement: {model: 'm', version: '1', bytes: 9, endpoints: ['engine-*']},
	key: {purpose: 'peer', hash},
	term: {startsAtRevision: 1},
} satisfies Record<RecordKind, object>;
const kinds = Object.keys(samples).filter((kind) => isRecordKind(kind));

/** Upgrade paths of a later build that adds one field to every kind. */
const laterPath = [{version: 2, adds: {later: 'default'}}];
const laterPaths: UpgradePaths = {
	workspace: laterPath,
	class: laterPath,
	rule: laterPath,
	endpoint: laterPath,
	schedule: laterPath,
	placement: laterPath,
	key: laterPath,
	term: laterPath,
};

function sample(
	kind: RecordKind,
	schema: number,
	fields: object = {},
): VersionedFields {
	return {schema, kind, name: 'one', ...samples[kind], ...fields};
}

for (const kind of kinds) {
	// Guards against a later build that rejects or misreads a record of the earlier one.
	test(`${kind}: an earlier record is read by a later build`, () => {
		const result = decodeRecord(sample(kind, 1), laterPaths);
		expect(result.type).toEqual('record');
		const upgraded = upgradeRecord(kind, sample(kind, 1), laterPaths);
		expect(upgraded).toEqual(sample(kind, 2, {later: 'default'}));
	});

	// Guards against an earlier build that drops fields of a later one when it reads or writes the record.
	test(`${kind}: a later record survives an earlier build`, () => {
		const stored = sample(kind, 2, {later: 'kept'});
		const result = decodeRecord(stored, upgradePaths);
		assert.ok(result.type === 'record');
		expect(result.record.later).toEqual('kept');
		const merged = mergeRecord(kind, stored, sample(kind, 1));
		expect(merged).toEqual(stored);
	});
}

// Guards against the loss of a later version's fields inside nested objects.
test('merging keeps unknown fields of nested objects and drops known ones', () => {
	const action = {type: 'load', model: 'm', version: '2', adapter: 'x'};
	const stored = sample('schedule', 2, {action, everyMinutes: 5});
	const merged = mergeRecord('schedule', stored, sample('schedule', 1));
	expect(merged).toEqual(sample('schedule', 2, {action}));
});
