import {test} from 'node:test';
import {expect} from 'earl';
import {hash32, mix32, rendezvous} from './rendezvous.js';

const ids = Array.from({length: 8}, (_, n) => `endpoint-${n}`);

// Guards against a hash that moves keys of endpoints that did not change.
test('rendezvous moves only the keys of a removed id', () => {
	const rest = ids.filter((id) => id !== 'endpoint-3');
	for (let n = 0; n < 200; n++) {
		const [before] = rendezvous(`key-${n}`, ids, 1);
		const [after] = rendezvous(`key-${n}`, rest, 1);
		if (before !== 'endpoint-3') {
			expect(after).toEqual(before);
		}
	}
});

// Guards against a hash by which similar ids all get many keys or all get few.
test('rendezvous spreads keys evenly', () => {
	const counts = new Map<string, number>();
	for (let n = 0; n < 8000; n++) {
		const [id] = rendezvous(`key-${n}`, ids, 1);
		counts.set(id!, (counts.get(id!) ?? 0) + 1);
	}

	for (const id of ids) {
		expect(counts.get(id)!).toBeGreaterThan(800);
		expect(counts.get(id)!).toBeLessThan(1200);
	}
});

// Guards against a mix under which most keys rank the same ids first.
test('mixed hashes spread keys evenly', () => {
	const ids = Array.from({length: 20}, (_, index) => hash32(`id-${index}`));
	const first = new Map<number, number>();
	for (let key = 0; key < 4000; key++) {
		const hash = hash32(`key-${key}`);
		const [best] = ids.toSorted((a, b) => mix32(hash, b) - mix32(hash, a));
		first.set(best!, (first.get(best!) ?? 0) + 1);
	}

	// 200 each on average; five standard deviations of 14.
	for (const id of ids) {
		expect(Math.abs((first.get(id) ?? 0) - 200) < 70).toEqual(true);
	}
});
