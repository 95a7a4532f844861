import {test} from 'node:test';
import {expect} from 'earl';
import {decodeOffer, encodeOffer} from './offer-parameters.js';

// Guards against fields that the sender and the receiver put in a different order.
test('an offer keeps its fields in positional form', () => {
	const offer = {
		type: 'offer',
		id: 'req-1',
		remainingMs: 900,
		profile: {
			target: 'model',
			kind: 'model',
			promptTokens: 5,
			maxTokens: undefined,
			prefix: ['a', 'b'],
			contract: {
				workspace: 'w',
				requestClass: 'c',
				tier: 1,
				firstTokenMs: 660,
				gapMs: 32,
				share: 0.25,
				weight: 2,
				patience: 3,
			},
		},
	} as const;
	const text = JSON.stringify(
		encodeOffer({...offer, profile: {...offer.profile, prefix: ['a', 'b']}}),
	);
	expect<unknown>(decodeOffer(JSON.parse(text))).toEqual(offer);
});
