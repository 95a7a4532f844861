import {test} from 'node:test';
import {expect} from 'earl';
import {Log} from '../log.js';
import {UnreadableRows} from './unreadable-rows.js';

function createRows() {
	const lines: string[] = [];
	const log = new Log({
		format: 'text',
		level: 'info',
		write(line) {
			lines.push(line.replace(/^.*event=/v, ''));
		},
	});
	return {lines, rows: new UnreadableRows(log, 'odd', 'row')};
}

// Guards against a log that is filled by a row that stays in a table, and against one whose later fault is not logged.
test('an unreadable row is logged once until its reason changes or it was readable', () => {
	const {lines, rows} = createRows();
	rows.replace([{id: 'a', reason: 'x'}]);
	rows.add({id: 'a', reason: 'x'});
	rows.replace([{id: 'a', reason: 'x'}]);
	rows.add({id: 'a', reason: 'y'});
	rows.replace([]);
	rows.replace([{id: 'a', reason: 'y'}]);
	expect(lines).toEqual([
		'odd row=a reason=x',
		'odd row=a reason=y',
		'odd row=a reason=y',
	]);
});

// Guards against a writer without end that fills the log and the memory of all gateways.
test('the number and the length of lines about unreadable rows are limited', () => {
	const {lines, rows} = createRows();
	const reason = 'x'.repeat(100_000);
	rows.replace(
		Array.from({length: 5000}, (_, index) => ({id: `row-${index}`, reason})),
	);
	expect(lines.length).toEqual(100);
	expect(Math.max(...lines.map(({length}) => length)) < 400).toEqual(true);
});
