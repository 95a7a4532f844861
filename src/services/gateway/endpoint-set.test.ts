import {test} from 'node:test';
import {expect} from 'earl';
import type {
	EndpointChange,
	ListedEndpoint,
} from '../../interfaces/ports/index.js';
import {EndpointSet} from './endpoint-set.js';
import {PeerLoads} from './peer-loads.js';

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

function newSet(): EndpointSet {
	return new EndpointSet(() => undefined, new PeerLoads());
}

// Guards against new work for an endpoint that is leaving, has left or has a damaged entry.
test('draining, removed and damaged entries get no requests', () => {
	const set = newSet();
	set.apply(listed(), 0);
	set.apply(listed({id: 'e2'}), 0);
	set.apply(listed({id: 'e3'}), 0);
	expect(ids(set, 0)).toEqual(['e1', 'e2', 'e3']);
	set.apply(listed({isDraining: true}), 0);
	set.apply({type: 'removed', id: 'e2'}, 0);
	set.apply({type: 'unreadable', id: 'e3', reason: 'no address'}, 0);
	expect(ids(set, 0)).toEqual([]);
});

// Guards against beliefs about a process that outlive it: its cache is empty and its connections are closed.
test('a new incarnation under the same id is a new upstream', () => {
	const set = newSet();
	set.apply(listed(), 0);
	const [first] = set.serving('s', 0);
	set.apply(listed({warmUpMs: 5}), 0);
	expect(set.serving('s', 0)[0] === first).toEqual(true);
	set.apply(listed({startedAt: 2}), 0);
	expect(set.serving('s', 0)[0] === first).toEqual(false);
});

// Guards against an outage of the store that takes all endpoints away, and against one that keeps a dead endpoint for ever.
test('entries that are missing after an outage are used for 2 s', () => {
	const set = newSet();
	set.replace([listed(), listed({id: 'e2'})], 0, false);
	set.replace([listed()], 10_000, true);
	expect(ids(set, 11_900)).toEqual(['e1', 'e2']);
	set.replace([listed()], 11_950, false);
	expect(ids(set, 11_950)).toEqual(['e1', 'e2']);
	expect(ids(set, 12_000)).toEqual(['e1']);
	set.replace([], 20_000, false);
	expect(ids(set, 20_000)).toEqual([]);
});

// Guards against new work for an endpoint that says itself that it leaves, while its entry still lists it as serving.
test('an endpoint that said that it leaves is not used again, its successor is', () => {
	const set = newSet();
	set.apply(listed(), 0);
	const [upstream] = set.serving('s', 0);
	expect(set.markLeaving(upstream!)).toEqual(true);
	expect(set.markLeaving(upstream!)).toEqual(false);
	set.apply(listed({warmUpMs: 1}, 2), 1);
	set.replace([listed({}, 3)], 2, false);
	expect(ids(set, 2)).toEqual([]);
	set.apply({type: 'removed', id: 'e1'}, 3);
	set.apply(listed({}, 4), 4);
	expect(ids(set, 4)).toEqual([]);
	set.apply(listed({startedAt: 2}, 5), 5);
	expect(ids(set, 5)).toEqual(['e1']);
});

// Guards against gateways of which each has to be told by the endpoint itself, and against a hint that takes out a successor or returns an endpoint.
test('leaving endpoints are told to other gateways, also once they are gone', () => {
	const [set, other] = [newSet(), newSet()];
	for (const each of [set, other]) {
		each.apply(listed(), 0);
		each.apply(listed({id: 'e2'}), 0);
	}

	set.markLeaving(set.serving('s', 0)[0]!);
	expect(other.noteLeavers(set.leavers(0)).map(({id}) => id)).toEqual(['e1']);
	expect(ids(other, 0)).toEqual(['e2']);
	other.noteLeavers([]);
	expect(ids(other, 0)).toEqual(['e2']);
	set.apply({type: 'removed', id: 'e1'}, 1);
	const late = newSet();
	late.apply(listed(), 2);
	late.noteLeavers(set.leavers(2));
	expect(ids(late, 2)).toEqual([]);
	late.apply(listed({startedAt: 9}), 3);
	late.noteLeavers(set.leavers(3));
	expect(ids(late, 3)).toEqual(['e1']);
	expect(set.leavers(60_000)).toEqual([]);
});

// Guards against a server that has left, or the process before a restart, in use again because the store came back from an older copy.
test('an older copy of the store returns no endpoint that has left', () => {
	const set = newSet();
	set.replace([listed({}, 10), listed({id: 'e2'}, 11)], 0, false);
	set.apply({type: 'removed', id: 'e1'}, 100);
	set.apply(listed({id: 'e2', startedAt: 5}, 20), 100);
	set.apply(listed({id: 'e3'}, 21), 100);
	set.restored(12);
	const copy = [listed({}, 10), listed({id: 'e2'}, 11)];
	set.replace(copy, 200, true);
	expect(ids(set, 200).toSorted()).toEqual(['e2', 'e3']);
	expect(set.all().find(({id}) => id === 'e2')?.listed.startedAt).toEqual(5);
	set.apply(listed({}, 13), 300);
	expect(ids(set, 300).toSorted()).toEqual(['e1', 'e2', 'e3']);
	expect(ids(set, 2300).includes('e3')).toEqual(false);
});

// Guards against requests that reach an endpoint which asked for rest, because its entry lapsed and came back.
test('rest that an endpoint asked for outlives a lapse of its entry', () => {
	const set = newSet();
	set.apply(listed(), 0);
	set.serving('s', 0)[0]!.rest(5000);
	set.apply({type: 'removed', id: 'e1'}, 100);
	set.apply(listed({}, 2), 200);
	const takes = (now: number) =>
		set.takesRequests(set.serving('s', now)[0]!, now);
	expect([takes(4999), takes(5000)]).toEqual([false, true]);
	set.apply(listed({startedAt: 2}, 3), 300);
	expect(takes(301)).toEqual(true);
});

// Guards against a run that goes on, or a prompt that was granted room, at an endpoint that has left since it was chosen.
test('an endpoint that was chosen earlier takes no request once it leaves, is gone or is down', () => {
	const set = newSet();
	for (const id of ['e1', 'e2', 'e3', 'e4']) {
		set.apply(listed({id}), 0);
	}

	const chosen = set.serving('s', 0);
	set.apply(listed({id: 'e1', isDraining: true}, 2), 1);
	set.apply({type: 'removed', id: 'e2'}, 1);
	chosen[2]!.health.block(1);
	expect(chosen.map((upstream) => set.takesRequests(upstream, 2))).toEqual([
		false,
		false,
		false,
		true,
	]);
});
