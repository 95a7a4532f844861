import {test} from 'node:test';
import {expect} from 'earl';
import {SortedList} from './sorted-list.js';

// Guards against lost or reordered items under equal keys.
test('sorted list keeps insertion order under equal keys', () => {
	const list = new SortedList<string>();
	list.add(2, 'c');
	list.add(1, 'a');
	list.add(2, 'd');
	list.add(1, 'b');
	expect([...list]).toEqual(['a', 'b', 'c', 'd']);
	expect(list.countBelow(2)).toEqual(2);
	expect(list.remove(2, 'd')).toEqual(true);
	expect(list.remove(2, 'd')).toEqual(false);
	expect([list.shift(), list.shift(), list.shift(), list.shift()]).toEqual([
		'a',
		'b',
		'c',
		undefined,
	]);
});
