import {test} from 'node:test';
import {expect} from 'earl';
import {rendezvous} from './rendezvous.js';

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

// Guards against similar ids that all win or all lose.
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
