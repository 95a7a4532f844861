import {test} from 'node:test';
import {expect} from 'earl';
import {RetryAllowance} from './retry-allowance.js';

const bounds = {ratio: 0.2, slack: 60, windowMs: 10_000};

// Guards against gateways that together exceed the retry budget of a service while every request fails.
test('all gateways together stay within ratio and slack in any window', () => {
	const gateways = 6;
	const allowances = Array.from(
		{length: gateways},
		() => new RetryAllowance(bounds),
	);
	const retries: number[] = [];
	let requests = 0;
	for (let now = 0; now < 60_000; now += 20) {
		for (const allowance of allowances) {
			allowance.request('s', now);
			requests++;
			if (allowance.take('s', now, gateways)) {
				retries.push(now);
			}
		}
	}

	const perWindow = (requests / 60_000) * bounds.windowMs;
	const allowed = bounds.ratio * perWindow + bounds.slack;
	for (let start = 0; start <= 50_000; start += 500) {
		const inWindow = retries.filter(
			(at) => at >= start && at < start + bounds.windowMs,
		).length;
		expect(inWindow <= allowed).toEqual(true);
	}

	expect(retries.length > 0).toEqual(true);
});

// Guards against a retry that is lost when a request asks for one and then does not need it.
test('asking whether a retry is left takes none', () => {
	const allowance = new RetryAllowance({...bounds, ratio: 0, slack: 2});
	expect([1, 2].map(() => allowance.has('s', 0, 1))).toEqual([true, true]);
	expect(allowance.take('s', 0, 1)).toEqual(true);
	expect(allowance.has('s', 0, 1)).toEqual(false);
});

// Guards against one service that uses up the retries of another.
test('each service has its own retry budget', () => {
	const allowance = new RetryAllowance(bounds);
	while (allowance.take('a', 0, 1)) {
		// Takes all there is.
	}

	expect(allowance.take('b', 0, 1)).toEqual(true);
});
