import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import type {
	LogEntry,
	SpreadMessage,
	SpreadPush,
} from '../../interfaces/index.js';
import {RecordStore, Spread, Staging, type SpreadEffect} from './index.js';

function entry(revision: number, key = 'record/class/a'): LogEntry {
	const record = {schema: 1, kind: 'class', name: 'a', note: revision};
	return {
		revision,
		writeId: `w${revision}`,
		operator: 'o',
		changes: [{key, record}],
	};
}

function push(revision: number, entries: LogEntry[]): SpreadPush {
	return {type: 'push', revision, entries};
}

/** A started process that has applied the first `revision` entries. */
function startedSpread(revision: number): Spread {
	const spread = new Spread({id: 'a', random: new Random(1)});
	const message = {type: 'peers', peers: ['a', 'b', 'c']} as const;
	spread.handle(message, 0);
	const call = spread
		.handle({type: 'tick'}, 20)
		.find((effect) => effect.type === 'table');
	const {id} = call!;
	spread.handle({type: 'table', id, answer: {type: 'unavailable'}}, 20);
	const snapshot = {after: '', records: []};
	const first: SpreadMessage = {...push(1, []), snapshot};
	for (const peer of ['b', 'c']) {
		spread.handle({type: 'peer', peer, message: first}, 30);
	}

	for (let next = 2; next <= revision; next++) {
		receive(spread, push(next, [entry(next)]));
	}

	expect(spread.revision).toEqual(revision);
	return spread;
}

function receive(spread: Spread, message: SpreadMessage, now = 40) {
	return spread.handle({type: 'peer', peer: 'b', message}, now);
}

function appliedRevisions(effects: readonly SpreadEffect[]): number[] {
	return effects.flatMap((effect) =>
		effect.type === 'apply' ? [effect.entry.revision] : [],
	);
}

// Guards against a later change that is applied before an earlier one.
test('entries are applied in order of revision', () => {
	const spread = startedSpread(2);
	expect(appliedRevisions(receive(spread, push(4, [entry(4)])))).toEqual([]);
	expect(appliedRevisions(receive(spread, push(3, [entry(3)])))).toEqual([
		3, 4,
	]);
});

// Guards against a peer with outdated records that rolls the process back.
test('a stale peer changes nothing and is brought up to date', () => {
	const spread = startedSpread(5);
	expect(
		appliedRevisions(receive(spread, push(3, [entry(2), entry(3)]))),
	).toEqual([]);
	const effects = receive(spread, {type: 'digest', revision: 3});
	expect(effects).toEqual([
		{type: 'send', peer: 'b', message: push(5, [entry(4), entry(5)])},
	]);
});

// Guards against an empty process that serves peers or applies entries before it has loaded any records.
test('an empty process neither applies entries nor answers digests', () => {
	const spread = new Spread({id: 'a', random: new Random(1)});
	spread.handle({type: 'peers', peers: ['b', 'c']}, 0);
	const effects = receive(spread, push(7, [entry(7)]), 1);
	expect(appliedRevisions(effects)).toEqual([]);
	expect(receive(spread, {type: 'digest', revision: 3}, 2)).toEqual([]);
	expect(spread.revision).toEqual(undefined);
});

// Guards against a tight request loop with a peer that has no capacity to send its records.
test('a busy peer is not sent another request at once', () => {
	const spread = new Spread({id: 'a', random: new Random(1)});
	spread.handle({type: 'peers', peers: ['b']}, 0);
	const snapshot = {after: '', records: [], next: 'k'};
	receive(spread, {type: 'push', revision: 7, entries: [], snapshot}, 1);
	expect(receive(spread, push(7, []), 2)).toEqual([]);
});

// Guards against a snapshot that mixes two revisions because the source applied changes between the pieces.
test('staged records are consistent only after the entries in between', () => {
	const staging = new Staging('b');
	const [change] = entry(6).changes;
	const record = change!.record!;
	staging.add(5, {after: '', records: [{key: 'k1', record}], next: 'k1'});
	staging.add(7, {after: 'k1', records: [{key: 'k2', record}]});
	expect(staging.result).toEqual(undefined);
	staging.apply([entry(6, 'k1')]);
	expect(staging.result).toEqual(undefined);
	staging.apply([entry(7, 'k2')]);
	expect(staging.result?.revision).toEqual(7);
});

// Guards against lost changes when a snapshot is continued with a peer that is behind the first one.
test('staged records have the lowest revision of their pieces', () => {
	const staging = new Staging('b');
	const [change] = entry(5).changes;
	const record = change!.record!;
	staging.add(7, {after: '', records: [{key: 'k1', record}], next: 'k1'});
	staging.add(5, {after: 'k1', records: [{key: 'k2', record}]});
	expect(staging.revision).toEqual(5);
	staging.apply([entry(6, 'k2'), entry(7, 'k1')]);
	const note = staging.result?.records.get('k2')?.note;
	expect([staging.result?.revision, note]).toEqual([7, 6]);
});

// Guards against pieces that repeat or omit records, and against gaps after entries that the log no longer holds.
test('a store returns its records in pieces and its log without gaps', () => {
	const store = new RecordStore(new Map(), 0);
	const padding = 'x'.repeat(3000);
	for (let revision = 1; revision <= 200; revision++) {
		const key = `record/class/${String((revision * 7) % 200).padStart(3, '0')}`;
		const record = {schema: 1, kind: 'class', name: 'a', padding};
		store.apply({...entry(revision), changes: [{key, record}]});
	}

	const keys: string[] = [];
	let pieces = 0;
	for (let after: string | undefined = ''; after !== undefined;) {
		const piece = store.piece(after);
		keys.push(...piece.records.map((each) => each.key));
		after = piece.next;
		pieces++;
	}

	expect(pieces).toEqual(3);
	expect(keys).toEqual([...store.records.keys()].toSorted());
	expect(store.entriesAfter(190)?.[0]?.revision).toEqual(191);
	expect(store.entriesAfter(0)?.length).toEqual(20);
	expect(new RecordStore(new Map(), 9).entriesAfter(8)).toEqual(undefined);
});
