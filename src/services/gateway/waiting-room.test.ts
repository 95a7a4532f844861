import {test} from 'node:test';
import {expect} from 'earl';
import {WaitingRoom} from './waiting-room.js';

// Guards against an urgent request that waits behind less urgent ones, and against work that is late already and displaces work that is not.
test('punctual requests go first, then urgent ones, then newer ones', () => {
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
	add('late loose', 2, 0, 60);
	add('later loose', 2, 1, 60);
	room.sweep(100);
	expect(room.size).toEqual(6);
	places = 2;
	room.sweep(100);
	places = 4;
	room.sweep(100);
	expect(placed).toEqual([
		'second urgent',
		'first urgent',
		'loose',
		'late urgent',
		'late loose',
		'later loose',
	]);
	expect(room.size).toEqual(0);
});

// Guards against load beyond capacity that makes every answer late because the earliest request always goes first.
test('at twice the capacity half of the requests are placed within a tenth of their objective', () => {
	const room = new WaitingRoom();
	const objectiveMs = 1000;
	let places = 0;
	let punctual = 0;
	let all = 0;
	const add = (arrivedAt: number) => {
		all++;
		room.add({
			tier: 0,
			arrivedAt,
			lateAt: arrivedAt + objectiveMs / 2,
			tryPlace(at) {
				if (at - arrivedAt > objectiveMs) {
					return true;
				}

				if (places === 0) {
					return false;
				}

				places--;
				punctual += at - arrivedAt <= objectiveMs / 10 ? 1 : 0;
				return true;
			},
		});
	};

	for (let now = 0; now < 20_000; now += 10) {
		add(now);
		places += now % 20 === 0 ? 1 : 0;
		room.sweep(now);
	}

	expect(punctual / all > 0.45).toEqual(true);
});
