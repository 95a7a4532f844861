import {test} from 'node:test';
import {expect} from 'earl';
import {Confirmation} from './confirmation.js';

// Guards against keys accepted from an outdated copy after a suspension, which the monotonic clock does not count, or after a step of the time of day.
test('the larger difference of the clocks is the age', () => {
	const confirmation = new Confirmation();
	const start = {monotonicMs: 0, wallMs: 1000};
	expect(confirmation.ageMs(start)).toEqual(Number.POSITIVE_INFINITY);
	confirmation.confirm(start);
	expect(confirmation.ageMs({monotonicMs: 10, wallMs: 6000})).toEqual(5000);
	expect(confirmation.ageMs({monotonicMs: 10, wallMs: -9000})).toEqual(10);
});
