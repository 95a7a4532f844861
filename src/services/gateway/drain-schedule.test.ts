import {test} from 'node:test';
import {expect} from 'earl';
import {DrainSchedule} from './drain-schedule.js';

const schedule = new DrainSchedule(10_000, 8000);

// Guards against a request that is accepted late in a stop and cut by its end, and against callers that are turned away before the platform routes them elsewhere.
test('late in a stop only requests that end in time are admitted', () => {
	expect(schedule.admits(12_000, 30_000)).toEqual(true);
	expect(schedule.admits(12_600, schedule.answersEndAt)).toEqual(true);
	expect(schedule.admits(12_600, schedule.answersEndAt + 1)).toEqual(false);
});

// Guards against a process that is killed in the middle of its stop because its settings leave less time than usual, and against answers that are ended sooner than the end of the stop requires.
test('every grace period has time for answers and for sending the last ones', () => {
	for (const graceMs of [2000, 4000, 8000, 30_000]) {
		const {startedAt, idleCloseAt, answersEndAt, exitAt} = new DrainSchedule(
			10_000,
			graceMs,
		);
		expect(startedAt < idleCloseAt).toEqual(true);
		expect(idleCloseAt < answersEndAt).toEqual(true);
		expect(answersEndAt >= startedAt + (graceMs * 5) / 6).toEqual(true);
		expect(answersEndAt < exitAt).toEqual(true);
		expect(exitAt < startedAt + graceMs).toEqual(true);
	}
});
