import {test} from 'node:test';
import {expect} from 'earl';
import {lossCause, LossTable, type EndedLine} from './loss-table.js';

const line: EndedLine = {
	event: 'ended',
	route: 'chat',
	outcome: 'streamed',
	reason: '',
	sends: 1,
	waited_ms: 5,
	objective_ms: 300,
	gap_target_ms: 250,
	total_ms: 2000,
	first_byte_ms: 100,
	longest_pause_ms: 90,
};

// Guards against a late answer that is attributed to the wrong part of the path.
test('a late answer is attributed to the first cause on its path', () => {
	const late = {...line, first_byte_ms: 700};
	expect(lossCause(line)).toEqual('in time');
	expect(lossCause(late)).toEqual('late: at the endpoint');
	expect(lossCause({...late, waited_ms: 200})).toEqual(
		'late: waited at the gateway',
	);
	expect(lossCause({...late, sends: 2})).toEqual('late: another send');
	expect(lossCause({...line, longest_pause_ms: 260})).toEqual('late: pause');
	expect(lossCause({...line, gap_target_ms: ''})).toEqual('in time');
});

// Guards against lost requests that are counted as served.
test('a request that was not served is counted with its reason', () => {
	const reason = 'no room in time';
	expect(lossCause({...line, outcome: 'refuse', reason})).toEqual(
		'refused: no room in time',
	);
	expect(lossCause({...line, outcome: 'cut', reason: 'expired'})).toEqual(
		'broken off: expired',
	);
	expect(lossCause({...line, outcome: 'answered 500'})).toEqual(
		'failure of the endpoint: answered 500',
	);
	expect(lossCause({...line, outcome: 'answered 200'})).toEqual('in time');
	expect(lossCause({...line, outcome: 'abandoned'})).toEqual('the caller left');
});

// Guards against fractions that do not add up.
test('the table counts by route and cause', () => {
	const table = new LossTable();
	table.add(line);
	table.add({...line, total_ms: 4000});
	table.add({...line, outcome: 'abandoned'});
	table.add({...line, route: 'note'});
	expect(table.rows()).toEqual([
		{
			route: 'chat',
			cause: 'in time',
			requests: 2,
			part: 2 / 3,
			meanMs: 3000,
		},
		{
			route: 'chat',
			cause: 'the caller left',
			requests: 1,
			part: 1 / 3,
			meanMs: 2000,
		},
		{route: 'note', cause: 'in time', requests: 1, part: 1, meanMs: 2000},
	]);
});
