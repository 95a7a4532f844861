import {test} from 'node:test';
import {expect} from 'earl';
import {formatLine} from './log.js';

// Guards against log injection: values that break a line in two or add a field.
test('log lines keep each value in its field', () => {
	const line = {
		event: 'platform_lost',
		reason: 'no "table"\nevent=x',
		tries: 2,
	};
	expect(formatLine(line, 'text')).toEqual(
		String.raw`event=platform_lost reason="no \"table\"\nevent=x" tries=2`,
	);
	expect(JSON.parse(formatLine(line, 'json'))).toEqual(line);
});
