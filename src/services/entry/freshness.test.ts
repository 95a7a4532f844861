import {test} from 'node:test';
import {expect} from 'earl';
import {Freshness} from './freshness.js';

// Guards against a thundering herd of requests to an endpoint that has just appeared or restarted.
test('a new endpoint has a penalty that ends after its slow start', () => {
	const freshness = new Freshness();
	freshness.recordSeen(['a'], 0);
	expect(freshness.penaltyMs('a', 0, 10_000)).toEqual(0);
	freshness.recordSeen(['a', 'b'], 20_000);
	expect(freshness.penaltyMs('b', 0, 20_000)).toEqual(100);
	expect(freshness.penaltyMs('b', 0, 25_000)).toEqual(50);
	freshness.applyIncarnation('a', 'one', 20_000);
	expect(freshness.penaltyMs('a', 0, 20_000)).toEqual(0);
	freshness.applyIncarnation('a', 'two', 30_000);
	expect(freshness.penaltyMs('a', 0, 30_000)).toEqual(100);
});

// Guards against offers to an endpoint that has reported that it is leaving, and against excluding it after its restart.
test('an endpoint counts as leaving for 5 s, or until its link is lost or its incarnation changes', () => {
	const freshness = new Freshness();
	freshness.applyIncarnation('a', 'one', 0);
	freshness.recordLeaving('a', 0);
	expect(freshness.isLeaving('a', 4999)).toEqual(true);
	expect(freshness.isLeaving('a', 5000)).toEqual(false);
	freshness.applyIncarnation('a', 'two', 1000);
	expect(freshness.isLeaving('a', 1000)).toEqual(false);
	freshness.recordLeaving('a', 2000);
	freshness.clearLeaving('a');
	expect(freshness.isLeaving('a', 2000)).toEqual(false);
});
