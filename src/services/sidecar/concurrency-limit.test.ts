import {test} from 'node:test';
import {expect} from 'earl';
import {ConcurrencyLimit} from './concurrency-limit.js';

/** Feeds gaps of an engine whose ratio to the target is `running / capacity`. */
function settle(limit: ConcurrencyLimit, capacity: number, from: number): void {
	for (let now = from; now < from + 60_000; now += 50) {
		const places = limit.at(now);
		limit.observe(places / capacity, places, 0, now);
	}
}

function isBetween(value: number, least: number, most: number): boolean {
	return value >= least && value <= most;
}

// Guards against a limit that stays high when the endpoint becomes slow, or low when it recovers.
test('limit follows the speed of the endpoint both ways', () => {
	const limit = new ConcurrencyLimit(true);
	settle(limit, 40, 1000);
	expect(isBetween(limit.at(61_000), 32, 40)).toEqual(true);
	settle(limit, 8, 100_000);
	expect(isBetween(limit.at(160_000), 5, 8)).toEqual(true);
	settle(limit, 40, 200_000);
	expect(isBetween(limit.at(260_000), 32, 40)).toEqual(true);
});

// Guards against an endpoint that was slow for one call and then refuses several at once.
test('a slow gap in a small batch does not lower the limit to that batch', () => {
	const limit = new ConcurrencyLimit(true);
	limit.observe(10, 1, 0, 1000);
	expect(limit.at(1000)).toEqual(3);
});

// Guards against an endpoint that was slow, has been idle since, and still refuses ordinary load.
test('a low limit ends 10 s after the last gap', () => {
	const limit = new ConcurrencyLimit(true);
	for (let now = 1000; now < 5000; now += 200) {
		limit.observe(10, 1, 0, now);
	}

	expect(limit.at(5000)).toEqual(1);
	expect(limit.at(15_000)).toEqual(4);
});
