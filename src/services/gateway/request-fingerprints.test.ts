import {test} from 'node:test';
import {expect} from 'earl';
import {requestFingerprint} from './request-fingerprints.js';

const request = {
	method: 'POST',
	host: 'api.example',
	target: '/x/1',
	workspace: 'acme',
	bodyLength: 4,
	bodyChecksum: 77,
};

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
	].map((changed) => requestFingerprint({...request, ...changed}));
	const fingerprint = requestFingerprint({...request});
	expect(fingerprint).toEqual(requestFingerprint(request));
	expect(new Set([fingerprint, ...others]).size).toEqual(1 + others.length);
});
