import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from './random.js';

// Guards against processes with neighbouring seeds that draw the same first delay.
test('the first numbers of neighbouring seeds are spread evenly', () => {
	const counts = Array.from({length: 4}, () => 0);
	for (let seed = 0; seed < 4000; seed++) {
		counts[new Random(seed).integer(4)]!++;
	}

	for (const count of counts) {
		expect(count).toBeGreaterThan(850);
		expect(count).toBeLessThan(1150);
	}
});
