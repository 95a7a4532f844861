import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from './random.js';
import {Timers} from './timers.js';

// Guards against a heap that loses or misorders times when they are moved and removed.
test('timers return the same times as a sorted list', () => {
	const random = new Random(7);
	const timers = new Timers();
	const model = new Map<string, number>();
	for (let n = 0; n < 3000; n++) {
		const key = `k${random.integer(60)}`;
		if (random.next() < 0.3) {
			timers.delete(key);
			model.delete(key);
		} else {
			const time = random.integer(1000);
			timers.set(key, time);
			model.set(key, time);
		}

		const times = [...model.values()];
		expect(timers.size).toEqual(model.size);
		expect(timers.earliest()).toEqual(
			times.length === 0 ? undefined : Math.min(...times),
		);
	}

	const due = timers.takeDue(500).map((key) => model.get(key)!);
	expect(due).toEqual(
		[...model.values()].filter((time) => time <= 500).toSorted((a, b) => a - b),
	);
});
