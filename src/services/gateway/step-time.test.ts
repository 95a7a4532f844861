import {test} from 'node:test';
import {expect} from 'earl';
import {StepTime} from './step-time.js';

// Guards against constants that suit one model of engine: the estimate must be close for each of them after some twenty events, also if every third step prefills.
test('the step time is learned for engines of different speeds', () => {
	for (const trueMs of [2.5, 5, 7, 15, 30]) {
		const step = new StepTime();
		for (let sample = 0; sample < 400; sample++) {
			step.addSample(sample % 3 === 0 ? trueMs * 4 : trueMs);
		}

		expect(step.ms / trueMs).toBeGreaterThan(0.85);
		expect(step.ms / trueMs).toBeLessThan(1.3);
	}
});

// Guards against an engine that counts as slow for a long time because of one pause.
test('a single long pause changes the estimate little', () => {
	const step = new StepTime();
	const before = step.ms;
	step.addSample(2000);
	expect(step.ms / before).toBeLessThan(1.05);
});
