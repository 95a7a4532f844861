import {test} from 'node:test';
import {expect} from 'earl';
import {CapacityClaims} from './capacity-claims.js';

// Guards against claims that hold back requests as urgent as, or more urgent than, the waiting one.
test('a claim holds back less urgent requests only', () => {
	const claims = new CapacityClaims();
	claims.add(1, 200, 0);
	expect([0, 1, 1.1].map((rank) => claims.heldMs(rank, 0) > 0)).toEqual([
		false,
		false,
		true,
	]);
});

// Guards against a message with an absurd time or many ranks that blocks an engine or fills the memory.
test('claims are bounded in time and number', () => {
	const claims = new CapacityClaims();
	for (let rank = 0; rank < 1000; rank++) {
		claims.add(rank, Number.MAX_VALUE, 0);
	}

	expect(claims.heldMs(10, 0)).toEqual(1000);
	expect(claims.heldMs(10, 1000)).toEqual(0);
	expect(claims.isFresh(0, 0)).toEqual(true);
	expect(claims.isFresh(900, 0)).toEqual(false);
});
