import {test} from 'node:test';
import {expect} from 'earl';
import type {Profile} from '../../interfaces/index.js';
import {remainingProfile} from './remaining-profile.js';

// Guards against a request that waits at several endpoints in turn, each time with the full first-token target.
test('time spent at other endpoints shortens the first-token target', () => {
	const profile: Profile = {
		contract: {
			workspace: 'a',
			requestClass: 'letters',
			tier: 1,
			firstTokenMs: 1000,
			gapMs: 32,
			share: 0,
			weight: 1,
			patience: 2,
		},
		target: 'm',
		kind: 'model',
		promptTokens: 1,
		prefix: [],
	};
	const targetAfter = (ms: number) =>
		remainingProfile(profile, ms).contract.firstTokenMs;
	expect([0, 500, 5000].map((ms) => targetAfter(ms))).toEqual([1000, 750, 1]);
});
