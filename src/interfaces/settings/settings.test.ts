import {readFile} from 'node:fs/promises';
import {test} from 'node:test';
import {expect} from 'earl';
import {parseSettings, SettingsInvalid} from './settings.js';

function problemsOf(text: string): string[] {
	try {
		parseSettings(text, 'x.ini');
		return [];
	} catch (error) {
		expect(error).toBeA(SettingsInvalid);
		return String((error as Error).message).split('\n');
	}
}

// Guards against validation that stops at the first problem or does not report its location.
test('every problem is reported with section, key, value and what is allowed', () => {
	const text = `
[process]
role = entry
instance = Entry_1
data_centre = bole
region = addis
[addresses]
admin = 10.0.0.1:8090
[peers]
key = short
[platform]
table = http://127.0.0.1:9000
instances = http://127.0.0.1:9001
[limits]
connections = many
conections = 5
[metric]
prefix = x
`;
	expect(problemsOf(text)).toEqual([
		'x.ini: [process] instance: "Entry_1" is not allowed: 1 to 63 characters of a-z, 0-9, "." and "-"',
		'x.ini: [peers] key: "short" is not allowed: at least 16 characters',
		'x.ini: [limits] connections: "many" is not allowed: a whole number from 1 to 1000000',
		'x.ini: [limits] conections: "5" is not allowed: unknown key',
		'x.ini: [metric]: a section is not allowed: unknown section',
		'x.ini: [addresses] caller: a missing value is not allowed: required for role "entry"',
		'x.ini: [addresses] peer: a missing value is not allowed: required for role "entry"',
		'x.ini: [addresses] admin: "10.0.0.1:8090" is not allowed: must be on loopback unless admin_remote is true',
	]);
});

// Guards against lost defaults, which would leave a process without limits.
test('limits, metrics and log have defaults', async () => {
	const text = await readFile('examples/gebeya/entry.ini', 'utf8');
	const settings = parseSettings(text, 'entry.ini');
	expect(settings.limits.requests).toEqual(10_000);
	expect(settings.metrics.address).toEqual(undefined);
	expect(settings.log).toEqual({format: 'text', level: 'info'});
});
