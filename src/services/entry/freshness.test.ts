import {test} from 'node:test';
import {expect} from 'earl';
import {Freshness} from './freshness.js';

// Guards against a herd of requests towards an endpoint that has just appeared or restarted.
test('a new endpoint has a handicap that ends after its slow start', () => {
	const freshness = new Freshness();
	freshness.see(['a'], 0);
	expect(freshness.penaltyMs('a', 0, 10_000)).toEqual(0);
	freshness.see(['a', 'b'], 20_000);
	expect(freshness.penaltyMs('b', 0, 20_000)).toEqual(100);
	expect(freshness.penaltyMs('b', 0, 25_000)).toEqual(50);
	freshness.noteIncarnation('a', 'one', 20_000);
	expect(freshness.penaltyMs('a', 0, 20_000)).toEqual(0);
	freshness.noteIncarnation('a', 'two', 30_000);
	expect(freshness.penaltyMs('a', 0, 30_000)).toEqual(100);
});

// Guards against offers to an endpoint that has said that it is leaving, and against one that is shunned after its restart.
test('a leaving endpoint is known for 5 s or until its link or incarnation ends', () => {
	const freshness = new Freshness();
	freshness.noteIncarnation('a', 'one', 0);
	freshness.noteLeaving('a', 0);
	expect(freshness.isLeaving('a', 4999)).toEqual(true);
	expect(freshness.isLeaving('a', 5000)).toEqual(false);
	freshness.noteIncarnation('a', 'two', 1000);
	expect(freshness.isLeaving('a', 1000)).toEqual(false);
	freshness.noteLeaving('a', 2000);
	freshness.noteLinkLost('a');
	expect(freshness.isLeaving('a', 2000)).toEqual(false);
});
