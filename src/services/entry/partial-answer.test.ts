import {test} from 'node:test';
import {expect} from 'earl';
import {PartialAnswer} from './partial-answer.js';

// Guards against text that is lost when buffered chunks are parsed, and against memory use that grows with the answer.
test('partial answer keeps the whole text or none', () => {
	const answer = new PartialAnswer((chunks) =>
		chunks.map((chunk) => chunk.slice(0, 10)).join(''),
	);
	let expected = '';
	for (let n = 0; n < 1000; n++) {
		const text = String(n).padStart(10, '0');
		expected += text;
		answer.add(text.padEnd(1000, ' '));
	}

	expect(answer.text()).toEqual(expected);
	for (let n = 0; n < 30_000; n++) {
		answer.add('0123456789');
	}

	expect(answer.text()).toEqual(undefined);
	answer.add('0123456789');
	expect(answer.text()).toEqual(undefined);
});
