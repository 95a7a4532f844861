import {test} from 'node:test';
import {expect} from 'earl';
import {hash32} from '../../base/index.js';
import {isYoung, vouch} from './copy-proof.js';
import {StoreReaders} from './store-readers.js';

function choices(count: number): Map<string, string | undefined> {
	const names = Array.from({length: count}, (_, index) => `gateway-${index}`);
	return new Map(
		names.map((own) => [
			own,
			new StoreReaders(own).toAsk(
				new Map(
					names
						.filter((name) => name !== own)
						.map((name) => [name, hash32(name)]),
				),
			),
		]),
	);
}

// Guards against a store that gets calls for each gateway, and against gateways that all ask one.
test('few gateways read the store and the others share them', () => {
	for (const [count, readers] of [
		[1, 1],
		[4, 4],
		[6, 4],
		[68, 9],
		[400, 50],
	] as const) {
		const asked = choices(count);
		const reading = [...asked]
			.filter(([, name]) => name === undefined)
			.map(([own]) => own);
		expect(reading.length).toEqual(readers);
		const followers = new Map<string, number>();
		for (const name of asked.values()) {
			if (name !== undefined) {
				expect(reading).toInclude(name);
				followers.set(name, (followers.get(name) ?? 0) + 1);
			}
		}

		const most = Math.max(0, ...followers.values());
		expect(most <= Math.max(4, (3 * count) / readers)).toEqual(true);
	}
});

// Guards against a key that stays in use because a gateway that is cut from the store vouches for old copies.
test('only a young proof counts, by its age when the question was asked', () => {
	const proof = {
		configurationVersion: 3,
		configurationAgeMs: 400,
		endpointsDigest: 7,
		endpointsAgeMs: 700,
	};
	expect(isYoung(proof)).toEqual(true);
	expect(isYoung({...proof, configurationAgeMs: 2000})).toEqual(false);
	expect(isYoung({...proof, endpointsAgeMs: Infinity})).toEqual(false);
	expect(vouch(true, 400)).toEqual({type: 'current', ageMs: 400});
	expect(vouch(false, 400)).toEqual({type: 'different'});
	expect(vouch(true, 2000)).toEqual({type: 'unknown'});
});
