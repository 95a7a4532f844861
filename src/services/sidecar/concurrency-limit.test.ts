import {test} from 'node:test';
import {expect} from 'earl';
import {ConcurrencyLimit} from './concurrency-limit.js';

/** Feeds gaps of an engine whose ratio to the target is `running / capacity`. */
function settle(limit: ConcurrencyLimit, capacity: number, from: number): void {
	for (let now = from; now < from + 60_000; now += 50) {
		limit.observe(limit.value / capacity, limit.value, 0, now);
	}
}

// Guards against a limit that stays high when the endpoint becomes slow, or low when it recovers.
test('limit follows the speed of the endpoint both ways', () => {
	const limit = new ConcurrencyLimit(true);
	settle(limit, 40, 1000);
	expect(limit.value >= 32 && limit.value <= 40).toEqual(true);
	settle(limit, 8, 100_000);
	expect(limit.value >= 5 && limit.value <= 8).toEqual(true);
	settle(limit, 40, 200_000);
	expect(limit.value >= 32 && limit.value <= 40).toEqual(true);
});

// Guards against an endpoint that was slow for one call and then refuses several at once.
test('a slow gap in a small batch does not lower the limit to that batch', () => {
	const limit = new ConcurrencyLimit(true);
	limit.observe(10, 1, 0, 1000);
	expect(limit.value).toEqual(3);
});
