import {test} from 'node:test';
import {expect} from 'earl';
import {WaitingRoom} from './waiting-room.js';

// Guards against an urgent request that waits behind less urgent ones, and against work that is late already and displaces work that is not.
test('punctual requests go first, then urgent ones, then earlier ones', () => {
	const room = new WaitingRoom();
	const placed: string[] = [];
	let places = 0;
	const add = (
		name: string,
		tier: number,
		arrivedAt: number,
		lateAt: number,
	) => {
		room.add({
			tier,
			arrivedAt,
			lateAt,
			tryPlace() {
				if (places === 0) {
					return false;
				}

				places--;
				placed.push(name);
				return true;
			},
		});
	};

	add('late urgent', 0, 0, 50);
	add('loose', 2, 1, 500);
	add('second urgent', 0, 3, 500);
	add('first urgent', 0, 2, 500);
	room.sweep(100);
	expect(room.size).toEqual(4);
	places = 2;
	room.sweep(100);
	places = 2;
	room.sweep(100);
	expect(placed).toEqual([
		'first urgent',
		'second urgent',
		'loose',
		'late urgent',
	]);
	expect(room.size).toEqual(0);
});
