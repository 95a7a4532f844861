import {test} from 'node:test';
import {expect} from 'earl';
import {fitLine} from './measure.js';
import {replaceSection} from './page.js';
import {requestTraffic, retainedAttempts} from './traffic.js';

/** Control bytes a second that an entry may spend, 16 KB, over its share of the requests, 3,100/s over 400 entries. */
const maxOfferBytes = 16_000 / (3100 / 400);

// Guards against offers whose number or size grows with the fleet.
test('offers of a request do not grow with the endpoints', () => {
	const [small, middle, large] = [30, 300, 3000].map((count) =>
		requestTraffic(count),
	);
	expect(middle!.offers).toEqual(small!.offers);
	expect(large!.offers).toEqual(small!.offers);
	expect(large!.offerBytes).toEqual(small!.offerBytes);
});

// Guards against offers that alone use up the control traffic of an entry.
test('offers of a request fit the control traffic', () => {
	expect(requestTraffic(300).offerBytes).toBeLessThanOrEqual(maxOfferBytes);
});

// Guards against memory that grows with the requests served.
test('a sidecar forgets the attempts that it has refused', () => {
	expect([10, 100, 1000].map((count) => retainedAttempts(count))).toEqual([
		0, 0, 0,
	]);
});

// Guards against a projection from a wrong fit.
test('fit finds a line and tells a curve from one', () => {
	const line = [1, 2, 4].map((size) => ({size, value: 3 + 2 * size}));
	expect(fitLine(line)).toEqual({intercept: 3, slope: 2, r2: 1});
	const curve = [1, 10, 100].map((size) => ({size, value: 1 / size}));
	expect(fitLine(curve).r2).toBeLessThan(0.9);
});

// Guards against a page that silently keeps old figures.
test('replaceSection refuses a page without its markers', () => {
	expect(() => replaceSection('no markers', 'figures', 'x')).toThrow(
		'the page has no section figures',
	);
});
