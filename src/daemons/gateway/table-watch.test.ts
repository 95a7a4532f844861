import {test} from 'node:test';
import {expect} from 'earl';
import type {RevalidationResult} from '../../services/gateway/index.js';
import {waitUntil} from '../../lab/fleet/loopback.js';
import {TableWatch} from './table-watch.js';

/** Starts a watch whose revalidations return the given results in turn and then repeat the last one. Each of the feed's calls takes `feedMs`, and the first `failures` of them fail. */
function startWatch(
	results: Array<RevalidationResult | undefined>,
	{isFeedCompacted = false, failures = 0, feedMs = 10} = {},
) {
	const counts = {
		lists: 0,
		feeds: 0,
		revalidations: 0,
		confirmed: [] as number[],
		events: [] as string[],
		failed: false,
	};
	const startedAt = performance.now();
	const watch = new TableWatch<string>({
		table: {
			async list() {
				counts.lists++;
				counts.events.push('list');
				return {changes: ['a'], position: {era: 0, version: counts.lists}};
			},
			async feed(position) {
				counts.feeds++;
				await new Promise((resolve) => {
					setTimeout(resolve, feedMs);
				});
				if (counts.feeds <= failures) {
					setImmediate(() => {
						counts.failed = true;
					});
					throw new Error('no answer');
				}

				return isFeedCompacted
					? {type: 'lost'}
					: {type: 'changes', changes: [], position};
			},
		},
		waitMs: () => 10,
		pauseMs: 0,
		async revalidate() {
			counts.revalidations++;
			return results.length > 1 ? results.shift() : results[0];
		},
		onList: () => undefined,
		onChange: () => undefined,
		onConfirmed({monotonicMs}) {
			counts.confirmed.push(monotonicMs - startedAt);
		},
		onFailure: () => undefined,
		onReachabilityChange(reason) {
			counts.events.push(reason === undefined ? 'regained' : 'lost');
		},
	});
	watch.start();
	return {watch, counts};
}

// Guards against a store that is read by every gateway, and against a copy whose age is less than that of the confirmation from another gateway.
test('a copy that another gateway confirms is not read from the store', async () => {
	const {watch, counts} = startWatch([{type: 'current', ageMs: 500}]);
	await waitUntil('revalidated', async () => counts.revalidations >= 2);
	watch.dispose();
	expect([counts.lists, counts.feeds]).toEqual([1, 0]);
	expect(counts.confirmed.at(1)! <= counts.confirmed.at(0)!).toEqual(true);
});

// Guards against a newer configuration that a gateway does not fetch because it relies on other gateways.
test("a copy that differs from another gateway's is read whole again", async () => {
	const {watch, counts} = startWatch([{type: 'different'}]);
	await waitUntil('read again', async () => counts.lists >= 2);
	watch.dispose();
	expect(counts.feeds).toEqual(0);
});

// Guards against missed changes: the feed may have been compacted while the copy was only revalidated.
test('a copy that no gateway confirms any more is read whole and then follows the feed', async () => {
	const {watch, counts} = startWatch([{type: 'current', ageMs: 0}, undefined]);
	await waitUntil('followed', async () => counts.feeds >= 2);
	watch.dispose();
	expect(counts.lists).toEqual(2);
});

// Guards against a copy that counts as current although the feed returned only that it has been compacted.
test('a compacted feed does not confirm the copy', async () => {
	const {watch, counts} = startWatch([undefined], {isFeedCompacted: true});
	await waitUntil('lost', async () => counts.feeds >= 3);
	watch.dispose();
	expect(counts.confirmed.length <= counts.lists).toEqual(true);
});

// Guards against a removed endpoint that is used longer because a call failed some time before its removal.
test('a copy that another gateway confirms after a failed call is in contact with the store', async () => {
	const {watch, counts} = startWatch(
		[undefined, {type: 'current', ageMs: 0}, {type: 'different'}],
		{failures: 1},
	);
	await waitUntil('read again', async () => counts.lists >= 2);
	watch.dispose();
	expect(counts.events.slice(0, 4)).toEqual([
		'list',
		'lost',
		'regained',
		'list',
	]);
});

// Guards against a line at every planned stop which says that the store was lost.
test('a watch that is disposed of during a call reports no failure of it', async () => {
	const {watch, counts} = startWatch([undefined], {
		failures: 1,
		feedMs: 300,
	});
	await waitUntil('called', async () => counts.feeds === 1);
	watch.dispose();
	await waitUntil('failed', async () => counts.failed);
	expect(counts.events).toEqual(['list']);
});
