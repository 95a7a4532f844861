import {test} from 'node:test';
import {expect} from 'earl';
import {AnswerSoFar} from './answer-so-far.js';

// Guards against a part of the text that is lost when chunks are folded, and against memory that grows with the answer.
test('answer so far keeps the whole text or none', () => {
	const answer = new AnswerSoFar((chunks) =>
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
