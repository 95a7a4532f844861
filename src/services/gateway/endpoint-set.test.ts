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

function listed(fields: Partial<ListedEndpoint> = {}): EndpointChange {
	return {type: 'listed', endpoint: {...endpoint, ...fields}};
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
