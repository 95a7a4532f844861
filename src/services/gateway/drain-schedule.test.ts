import {test} from 'node:test';
import {expect} from 'earl';
import {DrainSchedule, type DueRequest} from './drain-schedule.js';

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

// Guards against a request that may not be repeated and is sent although the stop may cut it, and against sends of other requests that only the last moments are left for.
test('late in a stop a request that waits is sent only if there is time for it', () => {
	const allows = (now: number, fields: Partial<DueRequest> = {}) =>
		schedule.allowsSend(now, {
			expiresAt: 30_000,
			objectiveMs: 1000,
			retryMode: 'once',
			mayHaveRun: false,
			...fields,
		});
	const {answersEndAt} = schedule;
	expect(allows(12_000)).toEqual(true);
	expect(allows(12_600)).toEqual(false);
	expect(allows(12_600, {expiresAt: answersEndAt})).toEqual(true);
	expect(allows(12_600, {retryMode: 'idempotent'})).toEqual(true);
	expect(allows(answersEndAt - 900, {retryMode: 'resumable'})).toEqual(false);
});

// Guards against a stream that is cut early in a stop although another server could continue it, and against one that is continued for moments only.
test('a repeat is sent until the last answers', () => {
	const repeat = {
		expiresAt: 30_000,
		objectiveMs: 1000,
		retryMode: 'resumable',
		mayHaveRun: true,
	} as const;
	expect(schedule.allowsSend(schedule.answersEndAt - 100, repeat)).toEqual(
		true,
	);
	expect(schedule.allowsSend(schedule.answersEndAt, repeat)).toEqual(false);
});
