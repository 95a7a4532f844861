import {test} from 'node:test';
import {expect} from 'earl';
import {KvCacheUsage} from './kv-cache-usage.js';

const totalTokens = 400_000;
const startedAt = undefined;

// Guards against engines that preempt answers in progress because long prompts have filled their KV cache before their slots.
test('a request that does not fit into the KV cache is not sent to the engine', () => {
	const kvCache = new KvCacheUsage();
	expect(kvCache.hasCapacityFor(1_000_000, 0, 0)).toEqual(true);
	kvCache.report({usedTokens: 290_000, totalTokens, startedAt}, 0);
	expect(kvCache.hasCapacityFor(20_000, 0, 0)).toEqual(true);
	expect(kvCache.hasCapacityFor(20_000, 2, 0)).toEqual(false);
	kvCache.reserve(60_000, 0);
	expect(kvCache.hasCapacityFor(20_000, 0, 0)).toEqual(false);
});

// Guards against requests that are counted twice once the engine's report includes them, and against reports that are used after the engine is gone.
test('a reservation counts until a report includes it, and a report until it is stale', () => {
	const kvCache = new KvCacheUsage();
	kvCache.report({usedTokens: 0, totalTokens, startedAt}, 0);
	kvCache.reserve(300_000, 0);
	expect(kvCache.hasCapacityFor(100_000, 0, 100)).toEqual(false);
	kvCache.report({usedTokens: 250_000, totalTokens, startedAt}, 200);
	expect(kvCache.hasCapacityFor(10_000, 0, 200)).toEqual(false);
	kvCache.report({usedTokens: 250_000, totalTokens, startedAt}, 600);
	expect(kvCache.hasCapacityFor(100_000, 0, 600)).toEqual(true);
	expect(kvCache.hasCapacityFor(300_000, 0, 600)).toEqual(false);
	expect(kvCache.hasCapacityFor(300_000, 0, 3000)).toEqual(true);
});
