import {test} from 'node:test';
import {expect} from 'earl';
import {ConcurrencyLimit} from './concurrency-limit.js';

/** Adds samples of an engine whose gaps are `running / capacity` times the target, for 60 s. */
function simulateEngine(
	limit: ConcurrencyLimit,
	capacity: number,
	from: number,
): void {
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
	simulateEngine(limit, 40, 1000);
	expect(isBetween(limit.at(61_000), 32, 40)).toEqual(true);
	simulateEngine(limit, 8, 100_000);
	expect(isBetween(limit.at(160_000), 5, 8)).toEqual(true);
	simulateEngine(limit, 40, 200_000);
	expect(isBetween(limit.at(260_000), 32, 40)).toEqual(true);
});

// Guards against an endpoint that refuses concurrent calls after a single slow one.
test('a slow gap in a small batch does not lower the limit to that batch', () => {
	const limit = new ConcurrencyLimit(true);
	limit.observe(10, 1, 0, 1000);
	expect(limit.at(1000)).toEqual(3);
});

// Guards against an endpoint that was slow, then idle, and still refuses ordinary load.
test('a limit below the initial one is raised to it 10 s after the last gap', () => {
	const limit = new ConcurrencyLimit(true);
	for (let now = 1000; now < 5000; now += 200) {
		limit.observe(10, 1, 0, now);
	}

	expect(limit.at(5000)).toEqual(1);
	expect(limit.at(15_000)).toEqual(4);
});
