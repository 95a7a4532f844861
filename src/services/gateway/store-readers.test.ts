import {test} from 'node:test';
import {expect} from 'earl';
import {hash32} from '../../base/index.js';
import {isRecent, revalidate} from './copy-freshness.js';
import {StoreReaders} from './store-readers.js';

function readersByGateway(count: number): Map<string, string | undefined> {
	const names = Array.from({length: count}, (_, index) => `gateway-${index}`);
	return new Map(
		names.map((own) => [
			own,
			new StoreReaders(own).readerFor(
				new Map(
					names
						.filter((name) => name !== own)
						.map((name) => [name, hash32(name)]),
				),
			),
		]),
	);
}

// Guards against a store that is called by every gateway, and against gateways that all revalidate with the same reader.
test('few gateways read the store, and the others are spread over them', () => {
	for (const [count, readers] of [
		[1, 1],
		[4, 4],
		[6, 4],
		[68, 9],
		[400, 50],
	] as const) {
		const readerOf = readersByGateway(count);
		const reading = [...readerOf]
			.filter(([, name]) => name === undefined)
			.map(([own]) => own);
		expect(reading.length).toEqual(readers);
		const followers = new Map<string, number>();
		for (const name of readerOf.values()) {
			if (name !== undefined) {
				expect(reading).toInclude(name);
				followers.set(name, (followers.get(name) ?? 0) + 1);
			}
		}

		const most = Math.max(0, ...followers.values());
		expect(most <= Math.max(4, (3 * count) / readers)).toEqual(true);
	}
});

// Guards against a revoked key that stays in use because a gateway without contact to the store confirms old copies.
test('only a recent confirmation counts, by its age when the request was sent', () => {
	const freshness = {
		era: 1,
		configurationVersion: 3,
		configurationAgeMs: 400,
		endpointsDigest: 7,
		endpointsAgeMs: 700,
	};
	expect(isRecent(freshness)).toEqual(true);
	expect(isRecent({...freshness, configurationAgeMs: 2000})).toEqual(false);
	expect(isRecent({...freshness, endpointsAgeMs: Infinity})).toEqual(false);
	const own = {era: 1, isEqual: true};
	const old = {era: 1, ageMs: 2000};
	expect(revalidate(own, {era: 1, ageMs: 400})).toEqual({
		type: 'current',
		ageMs: 400,
	});
	expect(revalidate({...own, isEqual: false}, {era: 1, ageMs: 400})).toEqual({
		type: 'different',
	});
	expect(revalidate(own, old)).toEqual({type: 'unknown'});
});

// Guards against a copy that counts as current because version numbers were used again after the store was restored from an older backup.
test('a confirmation of another era never makes a copy current', () => {
	const own = {era: 2, isEqual: true};
	expect(revalidate(own, {era: 3, ageMs: 0})).toEqual({type: 'different'});
	expect(revalidate(own, {era: 1, ageMs: 0})).toEqual({type: 'unknown'});
});
