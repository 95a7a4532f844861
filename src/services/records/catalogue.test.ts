import {test} from 'node:test';
import {expect} from 'earl';
import {Catalogue} from './catalogue.js';

const endpoint = (name: string) => ({
	key: `record/endpoint/${name}`,
	value: {
		schema: 1,
		kind: 'endpoint',
		name,
		type: 'engine',
		dataCentre: 'dc-1',
		region: 'region-1',
	},
});
const rule = (endpoints: string[]) => ({
	key: 'record/rule/r',
	value: {
		schema: 1,
		kind: 'rule',
		name: 'r',
		target: 'model',
		targetKind: 'model',
		endpoints,
	},
});
const workspace = (hash: string) => ({
	key: 'record/workspace/w',
	value: {
		schema: 1,
		kind: 'workspace',
		name: 'w',
		keyHashes: [hash.repeat(64)],
		classes: ['c'],
	},
});

function names(catalogue: Catalogue): string[] {
	return (catalogue.target('model')?.endpoints ?? []).map(
		({name, leaving}) => `${name}${leaving ? ' leaving' : ''}`,
	);
}

// Guards against a cached target that stays in use after a change of its rule, endpoint or instance.
test('catalogue follows changes of rules, endpoints and instances', () => {
	const catalogue = new Catalogue();
	for (const {key, value} of [
		endpoint('a-1'),
		endpoint('b-1'),
		rule(['a-*']),
	]) {
		catalogue.set(key, value);
	}

	catalogue.setInstances([
		{id: 'a-1', address: '127.0.0.1:1', state: 'live'},
		{id: 'b-1', address: '127.0.0.1:2', state: 'live'},
	]);
	expect(names(catalogue)).toEqual(['a-1']);

	catalogue.set(rule(['*']).key, rule(['*']).value);
	expect(names(catalogue)).toEqual(['a-1', 'b-1']);

	catalogue.setInstance({id: 'b-1', address: '127.0.0.1:2', state: 'leaving'});
	expect(names(catalogue)).toEqual(['a-1', 'b-1 leaving']);

	catalogue.set(endpoint('a-1').key, null);
	expect(names(catalogue)).toEqual(['b-1 leaving']);

	catalogue.setInstances([]);
	expect(names(catalogue)).toEqual([]);

	catalogue.set(rule([]).key, null);
	expect(catalogue.target('model')).toEqual(undefined);
});

// Guards against an API key that still works after it has been replaced.
test('catalogue removes the replaced key of a workspace', () => {
	const catalogue = new Catalogue();
	catalogue.set(workspace('a').key, workspace('a').value);
	catalogue.set(workspace('b').key, workspace('b').value);
	expect(catalogue.workspace('a'.repeat(64))).toEqual(undefined);
	expect(catalogue.workspace('b'.repeat(64))?.name).toEqual('w');
});
