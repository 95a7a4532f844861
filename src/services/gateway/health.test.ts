import {test} from 'node:test';
import {expect} from 'earl';
import {Health} from './health.js';

// Guards against a crashed endpoint that gets requests all the time, and against one that is never used again.
test('ejections double while probes fail, and end with the first success', () => {
	const health = new Health();
	health.block(0);
	expect(health.blockedMs(0)).toEqual(500);
	health.block(100);
	expect(health.blockedMs(100)).toEqual(400);
	expect([health.blockedMs(600), health.isOnTrial]).toEqual([0, true]);
	health.failed(600);
	expect(health.blockedMs(600)).toEqual(1000);
	health.succeeded(2000);
	expect([health.blockedMs(2000), health.isOnTrial]).toEqual([0, false]);
});

// Guards against an endpoint that is avoided for good because no further requests update its failure rate.
test('the failure rate decays without outcomes', () => {
	const health = new Health();
	for (let count = 0; count < 20; count++) {
		health.failed(0);
	}

	expect(health.failingPart(0) > 0.9).toEqual(true);
	expect(health.failingPart(20_000) < 0.01).toEqual(true);
});
