import {test} from 'node:test';
import {expect} from 'earl';
import {prefixLinks, PrefixIndex} from './prefix-index.js';

const links = prefixLinks([
	{id: 'a', tokens: 100},
	{id: 'b', tokens: 200},
	{id: 'c', tokens: 300},
]);

// Guards against a part that counts as cached although a part before it is not.
test('a part counts only when all parts before it are cached', () => {
	const index = new PrefixIndex(10_000);
	index.read(links.slice(1));
	expect(index.cachedTokens(links)).toEqual(0);
	index.read(links.slice(0, 1));
	expect(index.cachedTokens(links)).toEqual(600);
	const other = prefixLinks([
		{id: 'x', tokens: 100},
		{id: 'b', tokens: 200},
	]);
	expect(index.cachedTokens(other)).toEqual(0);
});

// Guards against a second request that makes the engine prefill a part that it is already prefilling.
test('a part whose prefill has begun is expected until the prefill takes too long', () => {
	const index = new PrefixIndex(10_000);
	index.begin(links, 0);
	expect(index.cachedTokens(links)).toEqual(0);
	expect(index.expectedTokens(links, 1000)).toEqual(600);
	expect(index.expectedTokens(links, 5000)).toEqual(0);
	index.read(links);
	index.begin(links, 6000);
	expect(index.cachedTokens(links)).toEqual(600);
});

// Guards against an index that lists more than the engine can hold.
test('the least recently used parts are evicted first', () => {
	const index = new PrefixIndex(1000);
	index.read([{hash: 1, tokens: 300}]);
	index.read([{hash: 2, tokens: 300}]);
	index.read([{hash: 1, tokens: 300}]);
	index.read([{hash: 3, tokens: 300}]);
	expect(index.cachedTokens([{hash: 2, tokens: 300}])).toEqual(0);
	expect(index.cachedTokens([{hash: 1, tokens: 300}])).toEqual(300);
});
