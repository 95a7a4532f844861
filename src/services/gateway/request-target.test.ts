import {test} from 'node:test';
import {expect} from 'earl';
import {requestTarget} from './request-target.js';

// Guards against an absolute target that is rejected although its route exists, and against one whose path, query or host is read differently by an endpoint.
for (const [host, target, expected] of [
	['h', '/a/b?c=http://i/', '/a/b?c=http://i/'],
	['h', 'http://h/a/b?c', '/a/b?c'],
	['h:80', 'HTTPS://H:80/a//b', '/a//b'],
	['h', 'http://h', '/'],
	['h', 'http://h?c', '/?c'],
	['h', '*', '*'],
	['h', 'http://i/a/', undefined],
	['h', 'http://h:80/a/', undefined],
	['h', 'http://u@h/a/', undefined],
] as const) {
	test(`the target ${target} at the host ${host} is ${expected ?? 'rejected'}`, () => {
		expect(requestTarget([host], target)?.target).toEqual(expected);
	});
}

// Guards against a request that is routed by one host and served by an endpoint for another.
test('a request with several hosts has no target', () => {
	expect(requestTarget(['h', 'h'], '/a/')).toEqual(undefined);
	expect(requestTarget([], '/a/')).toEqual({host: '', target: '/a/'});
});
