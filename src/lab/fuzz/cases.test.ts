import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {expect} from 'earl';
import {knownFailure} from './known-failure.js';
import {findingSchema, replay} from './index.js';

const folder = new URL('cases/', import.meta.url);

// Each guards against the return of the fault of that number in known-faults.md.
for (const file of readdirSync(folder)) {
	const name = `fuzz case ${file.replace('.json', '')}`;
	test(name, {todo: knownFailure(name)}, () => {
		const text = readFileSync(new URL(file, folder), 'utf8');
		const {campaign, plan} = findingSchema.parse(JSON.parse(text));
		expect(replay(campaign, plan).violations).toEqual([]);
	});
}
