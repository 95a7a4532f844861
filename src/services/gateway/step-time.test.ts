import {test} from 'node:test';
import {expect} from 'earl';
import {StepTime} from './step-time.js';

// Guards against constants of one make of engine: each one is known after some twenty events, also while every third step reads a prompt.
test('the time of a step is learned from events of unlike engines', () => {
	for (const trueMs of [2.5, 5, 7, 15, 30]) {
		const step = new StepTime();
		for (let sample = 0; sample < 400; sample++) {
			step.note(sample % 3 === 0 ? trueMs * 4 : trueMs);
		}

		expect(step.ms / trueMs).toBeGreaterThan(0.85);
		expect(step.ms / trueMs).toBeLessThan(1.3);
	}
});

// Guards against an engine that counts as slow for long because of one pause.
test('a single long pause changes little', () => {
	const step = new StepTime();
	const before = step.ms;
	step.note(2000);
	expect(step.ms / before).toBeLessThan(1.05);
});
