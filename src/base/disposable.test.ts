import {test} from 'node:test';
import {expect} from 'earl';
import {DisposableStore, toDisposable} from './disposable.js';

// Guards against a resource that outlives its store.
test('a store disposes in reverse order, and disposes a later item at once', () => {
	const order: number[] = [];
	const store = new DisposableStore();
	for (const n of [1, 2]) {
		store.add(
			toDisposable(() => {
				order.push(n);
			}),
		);
	}

	store.dispose();
	store.add(
		toDisposable(() => {
			order.push(3);
		}),
	);
	expect(order).toEqual([2, 1, 3]);
});
