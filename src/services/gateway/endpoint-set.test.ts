import {test} from 'node:test';
import {expect} from 'earl';
import type {
	EndpointChange,
	ListedEndpoint,
} from '../../interfaces/ports/index.js';
import {EndpointSet} from './endpoint-set.js';
import {
	missingEntryDeadline,
	restoredEntryDeadline,
} from './missing-entries.js';
import {PeerLoads} from './peer-loads.js';

const drainMs = 2000;

const endpoint: ListedEndpoint = {
	id: 'e1',
	service: 's',
	address: '10.0.0.1:80',
	dataCentre: 'd',
	isDraining: false,
	slots: 4,
	startedAt: 1,
	warmUpMs: 0,
};

function listed(
	fields: Partial<ListedEndpoint> = {},
	version = 1,
): EndpointChange {
	return {type: 'listed', endpoint: {...endpoint, ...fields}, version};
}

function ids(set: EndpointSet, now: number): string[] {
	return set.serving('s', now).map(({id}) => id);
}

function createSet(): EndpointSet {
	return new EndpointSet(() => undefined, new PeerLoads());
}

// Guards against new requests to an endpoint that is leaving, was removed or has an unreadable entry.
test('endpoints with a draining, removed or unreadable entry get no requests', () => {
	const set = createSet();
	set.apply(listed(), 0);
	set.apply(listed({id: 'e2'}), 0);
	set.apply(listed({id: 'e3'}), 0);
	expect(ids(set, 0)).toEqual(['e1', 'e2', 'e3']);
	set.apply(listed({isDraining: true}), 0);
	set.apply({type: 'removed', id: 'e2'}, 0);
	set.apply({type: 'unreadable', id: 'e3', reason: 'no address'}, 0);
	expect(ids(set, 0)).toEqual([]);
});

// Guards against state of a process that is kept for its successor, whose cache is empty and whose connections are closed.
test('a new incarnation under the same id is a new upstream', () => {
	const set = createSet();
	set.apply(listed(), 0);
	const [first] = set.serving('s', 0);
	set.apply(listed({warmUpMs: 5}), 0);
	expect(set.serving('s', 0)[0] === first).toEqual(true);
	set.apply(listed({startedAt: 2}), 0);
	expect(set.serving('s', 0)[0] === first).toEqual(false);
});

// Guards against an outage of the store that removes all endpoints, and against one that keeps a dead endpoint for ever.
test('endpoints whose entries are missing after an outage are used for 2 s', () => {
	const set = createSet();
	set.replace([listed(), listed({id: 'e2'})], 0, 0);
	set.replace(
		[listed()],
		10_000,
		missingEntryDeadline({endedAt: 10_000, durationMs: 5000}, drainMs),
	);
	expect(ids(set, 11_900)).toEqual(['e1', 'e2']);
	set.replace([listed()], 11_950, 0);
	expect(ids(set, 11_950)).toEqual(['e1', 'e2']);
	expect(ids(set, 12_000)).toEqual(['e1']);
	set.replace([], 20_000, 0);
	expect(ids(set, 20_000)).toEqual([]);
});

// Guards against requests to an endpoint after its drain time, because calls to the store had failed shortly or long before its removal.
test('a removed endpoint is not used beyond its drain time unless its lease may have expired', () => {
	// One call failed: the last confirmation was 1.2 s before contact was regained.
	const short = {endedAt: 10_000, durationMs: 1200};
	expect(missingEntryDeadline(short, drainMs) <= 8800 + drainMs).toEqual(true);
	const set = createSet();
	set.replace([listed(), listed({id: 'e2'})], 8800, 0);
	set.replace([listed()], 10_000, missingEntryDeadline(short, drainMs));
	expect(ids(set, 10_800)).toEqual(['e1']);
	// The grace period counts from the regained contact, not from the read that lacks the entry.
	const long = {endedAt: 20_000, durationMs: 9000};
	set.replace([], 22_500, missingEntryDeadline(long, drainMs));
	expect(ids(set, 22_500)).toEqual([]);
});

// Guards against new requests to an endpoint that reports itself as leaving while its entry still lists it as serving.
test('an endpoint that reported itself as leaving is not used again, its successor is', () => {
	const set = createSet();
	set.apply(listed(), 0);
	const [upstream] = set.serving('s', 0);
	expect(set.markLeaving(upstream!)).toEqual(true);
	expect(set.markLeaving(upstream!)).toEqual(false);
	set.apply(listed({warmUpMs: 1}, 2), 1);
	set.replace([listed({}, 3)], 2, 0);
	expect(ids(set, 2)).toEqual([]);
	set.apply({type: 'removed', id: 'e1'}, 3);
	set.apply(listed({}, 4), 4);
	expect(ids(set, 4)).toEqual([]);
	set.apply(listed({startedAt: 2}, 5), 5);
	expect(ids(set, 5)).toEqual(['e1']);
});

// Guards against an endpoint that comes back into use because its announcement arrived while its entry was missing.
test('an endpoint that is reported as leaving while its entry is missing is not used again', () => {
	for (const isReportedByPeer of [false, true]) {
		const set = createSet();
		set.apply(listed(), 0);
		const [upstream] = set.serving('s', 0);
		set.apply({type: 'removed', id: 'e1'}, 1);
		if (isReportedByPeer) {
			set.applyLeavingEndpoints([{endpoint: upstream!.key, startedAt: 1}]);
		} else {
			set.markLeaving(upstream!);
		}

		set.apply(listed({}, 2), 2);
		expect(ids(set, 2)).toEqual([]);
		set.apply(listed({startedAt: 2}, 3), 3);
		expect(ids(set, 3)).toEqual(['e1']);
	}
});

// Guards against gateways that each learn of a leaving endpoint only from its own answers, and against a notice that removes the successor or brings an endpoint back.
test('leaving endpoints are reported to other gateways, also after their removal', () => {
	const [set, other] = [createSet(), createSet()];
	for (const each of [set, other]) {
		each.apply(listed(), 0);
		each.apply(listed({id: 'e2'}), 0);
	}

	set.markLeaving(set.serving('s', 0)[0]!);
	expect(
		other.applyLeavingEndpoints(set.leavingEndpoints(0)).map(({id}) => id),
	).toEqual(['e1']);
	expect(ids(other, 0)).toEqual(['e2']);
	other.applyLeavingEndpoints([]);
	expect(ids(other, 0)).toEqual(['e2']);
	set.apply({type: 'removed', id: 'e1'}, 1);
	const late = createSet();
	late.apply(listed(), 2);
	late.applyLeavingEndpoints(set.leavingEndpoints(2));
	expect(ids(late, 2)).toEqual([]);
	late.apply(listed({startedAt: 9}), 3);
	late.applyLeavingEndpoints(set.leavingEndpoints(3));
	expect(ids(late, 3)).toEqual(['e1']);
	expect(set.leavingEndpoints(60_000)).toEqual([]);
});

// Guards against an endpoint that has left, or the process before a restart, in use again because the store was restored from an older backup.
test('a restore from an older backup brings back no endpoint that has left', () => {
	const set = createSet();
	set.replace([listed({}, 10), listed({id: 'e2'}, 11)], 0, 0);
	set.apply({type: 'removed', id: 'e1'}, 100);
	set.apply(listed({id: 'e2', startedAt: 5}, 20), 100);
	set.apply(listed({id: 'e3'}, 21), 100);
	set.restored(12);
	const copy = [listed({}, 10), listed({id: 'e2'}, 11)];
	set.replace(copy, 200, restoredEntryDeadline(200));
	expect(ids(set, 200).toSorted()).toEqual(['e2', 'e3']);
	expect(set.all().find(({id}) => id === 'e2')?.listed.startedAt).toEqual(5);
	set.apply(listed({}, 13), 300);
	expect(ids(set, 300).toSorted()).toEqual(['e1', 'e2', 'e3']);
	expect(ids(set, 2300).includes('e3')).toEqual(false);
});

// Guards against requests to an endpoint before its Retry-After has passed, because its lease expired and its entry came back.
test('a back-off outlives the removal of the entry', () => {
	const set = createSet();
	set.apply(listed(), 0);
	set.serving('s', 0)[0]!.backOff(5000);
	set.apply({type: 'removed', id: 'e1'}, 100);
	set.apply(listed({}, 2), 200);
	const takes = (now: number) =>
		set.canTakeRequests(set.serving('s', now)[0]!, now);
	expect([takes(4999), takes(5000)]).toEqual([false, true]);
	set.apply(listed({startedAt: 2}, 3), 300);
	expect(takes(301)).toEqual(true);
});

// Guards against a resumed run, or a prompt with reserved capacity, that is sent to an endpoint that has left since it was chosen.
test('an endpoint that was chosen earlier takes no request once it is leaving, removed or down', () => {
	const set = createSet();
	for (const id of ['e1', 'e2', 'e3', 'e4']) {
		set.apply(listed({id}), 0);
	}

	const chosen = set.serving('s', 0);
	set.apply(listed({id: 'e1', isDraining: true}, 2), 1);
	set.apply({type: 'removed', id: 'e2'}, 1);
	chosen[2]!.health.block(1);
	expect(chosen.map((upstream) => set.canTakeRequests(upstream, 2))).toEqual([
		false,
		false,
		false,
		true,
	]);
});
