import {test} from 'node:test';
import {expect} from 'earl';
import {hash32} from '../../base/index.js';
import {fingerprintKind, requestFingerprints} from './request-fingerprints.js';

const request = {
	method: 'POST',
	host: 'api.example',
	target: '/x/1',
	workspace: 'acme',
	bodyLength: 4,
	bodyChecksum: 77,
	parts: [
		{id: 'a', tokens: 10},
		{id: 'b', tokens: 10},
		{id: 'c', tokens: 10},
	],
};

function last(changed: object): number {
	return requestFingerprints({...request, ...changed}).at(-1)!;
}

// Guards against a repetition that is not recognised, and against sound requests that are taken for one.
test('a request has the fingerprint of its repetitions only', () => {
	const others = [
		{method: 'PUT'},
		{host: 'other.example'},
		{target: '/x/2'},
		{workspace: undefined},
		{workspace: 'other'},
		{bodyLength: 5},
		{bodyChecksum: 78},
	].map((changed) => last(changed));
	const fingerprint = last({});
	expect(last({parts: []})).toEqual(fingerprint);
	expect(new Set([fingerprint, ...others]).size).toEqual(1 + others.length);
});

// Guards against a last part that is taken for one that other callers share, and against gateways of earlier versions that no longer know the shared ones.
test('fingerprints tell shared parts, the last part and the request apart', () => {
	const fingerprints = requestFingerprints(request);
	expect(fingerprints.map((each) => fingerprintKind(each))).toEqual([
		'shared part',
		'shared part',
		'last part',
		'request',
	]);
	expect(fingerprints.slice(0, 2)).toEqual([hash32('a'), hash32('b')]);
});
