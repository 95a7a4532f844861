import {test} from 'node:test';
import {expect} from 'earl';
import {ShareAccount} from './share-account.js';

// Guards against cost served long ago that hides the present starvation of a class.
test('share covers the last 10 s only', () => {
	const account = new ShareAccount();
	account.add('a', 100, 0);
	account.add('b', 300, 5000);
	expect(account.share('a', 5000)).toEqual(0.25);
	expect(account.share('a', 10_100)).toEqual(0);
	expect(account.share('b', 10_100)).toEqual(1);
	expect(account.share('b', 60_000)).toEqual(0);
});
