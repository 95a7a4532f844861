import {test} from 'node:test';
import {expect} from 'earl';
import {EndedSends} from './ended-sends.js';

function endedAt(at: number) {
	return {requestId: String(at), fingerprints: [at], parts: [], at};
}

// Guards against a crash that is held against requests which ended long before it, and against one that is missed because the gateway checks late.
test('ended sends are kept until the endpoint was alive a second later', () => {
	const sends = new EndedSends();
	sends.add(endedAt(1000));
	sends.add(endedAt(1500));
	sends.wasAlive(1250);
	sends.wasAlive(2000);
	expect(sends.take().map(({at}) => at)).toEqual([1500]);
	expect(sends.isEmpty).toEqual(true);
});

// Guards against memory that grows with the callers that leave.
test('the number of ended sends is bounded', () => {
	const sends = new EndedSends();
	for (let at = 0; at < 100; at++) {
		sends.add(endedAt(at));
	}

	expect(sends.take().map(({at}) => at)).toEqual(
		Array.from({length: 32}, (_, index) => 68 + index),
	);
});
