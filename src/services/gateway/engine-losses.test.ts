import {test} from 'node:test';
import {expect} from 'earl';
import {EngineLosses} from './engine-losses.js';

// Guards against transfers for every run while no engine fails, and against runs that are lost because a second engine fails soon after the first.
test('losses are likely for 30 s after the last one', () => {
	const losses = new EngineLosses();
	expect(losses.areLikely(0)).toEqual(false);
	losses.recordLoss(1000);
	expect(losses.areLikely(1000)).toEqual(true);
	expect(losses.areLikely(30_999)).toEqual(true);
	expect(losses.areLikely(31_000)).toEqual(false);
});
