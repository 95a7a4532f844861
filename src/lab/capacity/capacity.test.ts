import {test} from 'node:test';
import {expect} from 'earl';
import {fitLine} from './measure.js';
import {replaceSection} from './page.js';
import {requestTraffic, retainedAttempts} from './traffic.js';

/** Bytes for the offers of one request: the 16 KB/s of control traffic allowed to an entry, divided by the requests per second of one of 400 entries that share 3,100/s. */
const maxOfferBytes = 16_000 / (3100 / 400);

// Guards against a number or size of offers that grows with the fleet.
test('offers of a request do not grow with the endpoints', () => {
	const [small, middle, large] = [30, 300, 3000].map((count) =>
		requestTraffic(count),
	);
	expect(middle!.offers).toEqual(small!.offers);
	expect(large!.offers).toEqual(small!.offers);
	expect(large!.offerBytes).toEqual(small!.offerBytes);
});

// Guards against offers that alone exceed the control traffic allowed to an entry.
test('offers of a request stay within the control traffic limit', () => {
	expect(requestTraffic(300).offerBytes).toBeLessThanOrEqual(maxOfferBytes);
});

// Guards against memory that grows with the number of requests handled.
test('a sidecar deletes the state of cancelled attempts', () => {
	expect([10, 100, 1000].map((count) => retainedAttempts(count))).toEqual([
		0, 0, 0,
	]);
});

// Guards against projections from a line that does not fit the points.
test('fitLine fits a line exactly and gives a low r2 for a curve', () => {
	const line = [1, 2, 4].map((size) => ({size, value: 3 + 2 * size}));
	expect(fitLine(line)).toEqual({intercept: 3, slope: 2, r2: 1});
	const curve = [1, 10, 100].map((size) => ({size, value: 1 / size}));
	expect(fitLine(curve).r2).toBeLessThan(0.9);
});

// Guards against a page that keeps outdated figures without an error.
test('replaceSection throws for a page without the markers', () => {
	expect(() => replaceSection('no markers', 'figures', 'x')).toThrow(
		'the page has no begin and end markers for section figures',
	);
});
