import {test} from 'node:test';
import {expect} from 'earl';
import type {Profile} from '../../interfaces/index.js';
import {LengthEstimate} from './length-estimate.js';

function profile(workspace: string, requestClass: string): Profile {
	return {
		contract: {
			workspace,
			requestClass,
			tier: 0,
			firstTokenMs: 1000,
			gapMs: 32,
			share: 0,
			weight: 1,
			patience: 1,
		},
		target: 'm',
		kind: 'model',
		promptTokens: 1,
		prefix: [],
	};
}

// Guards against a new workspace that gets the default instead of the estimate of its class.
test('prediction falls back to the class until a workspace has samples', () => {
	const lengths = new LengthEstimate();
	for (let index = 0; index < 40; index++) {
		lengths.record(profile('long', 'letters'), 400);
		lengths.record(profile('short', 'letters'), 100);
	}

	const {mean} = lengths.predict(profile('long', 'letters'));
	expect(Math.abs(mean - 400) < 10).toEqual(true);
	const other = lengths.predict(profile('new', 'letters'));
	expect(Math.abs(other.mean - 250) < 10).toEqual(true);
	expect(Math.abs(other.p90 - 400) < 10).toEqual(true);
});

// Guards against an estimate that does not follow a change of traffic.
test('prediction follows a drift', () => {
	const lengths = new LengthEstimate();
	const key = profile('a', 'letters');
	for (let index = 0; index < 5000; index++) {
		lengths.record(key, index < 3000 ? 50 : 500);
	}

	expect(lengths.predict(key).p50 > 450).toEqual(true);
});
