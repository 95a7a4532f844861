import {test} from 'node:test';
import {expect} from 'earl';
import {prefixHashes, sampledLength, samplePrefix} from './prefix.js';

// Guards against a sender and a receiver that disagree on how many blocks a hash covers.
test('samplePrefix selects the hashes at the sampled lengths', () => {
	const chain = Array.from({length: 40}, (_, n) => String(n + 1));
	const lengths = samplePrefix(chain).map(Number);
	expect(lengths).toEqual([1, 2, 3, 4, 6, 8, 12, 16, 24, 32]);
	expect(lengths.map((_, index) => sampledLength(index))).toEqual(lengths);
});

// Guards against hashes that do not depend on all earlier blocks.
test('prefixHashes differ from the first block that differs', () => {
	const one = prefixHashes('aaaabbbbccccdddd', 4);
	const other = prefixHashes('aaaaXbbbccccdddd', 4);
	expect(other[0]).toEqual(one[0]);
	expect(other.slice(1).some((hash) => one.includes(hash))).toEqual(false);
});
