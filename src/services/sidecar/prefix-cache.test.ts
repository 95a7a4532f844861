import {test} from 'node:test';
import {expect} from 'earl';
import {PrefixCache} from './prefix-cache.js';

// Guards against a late "stored" event that restores a block evicted after it.
test('events out of order leave the newest state of a block', () => {
	const cache = new PrefixCache();
	cache.onEvents(
		[
			{type: 'stored', block: 'a', number: 1},
			{type: 'evicted', block: 'a', number: 3},
			{type: 'stored', block: 'a', number: 2},
		],
		0,
	);
	expect(cache.cachedTokens(['a'])).toEqual(0);
});

// Guards against blocks that count as cached although the event of their eviction may have been lost.
test('gap in the event numbers drops blocks that were not confirmed recently', () => {
	const cache = new PrefixCache();
	cache.onEvents([{type: 'stored', block: 'a', number: 1}], 0);
	cache.onPrompt(['b'], 50_000);
	expect(cache.cachedTokens(['a'])).toEqual(64);
	cache.onEvents([{type: 'stored', block: 'c', number: 5}], 60_000);
	expect(cache.cachedTokens(['a'])).toEqual(0);
	expect(cache.cachedTokens(['b'])).toEqual(64);
});
