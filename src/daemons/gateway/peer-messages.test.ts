import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {encode} from '@msgpack/msgpack';
import {expect} from 'earl';
import {
	decodeMessage,
	encodeMessage,
	type PeerMessage,
} from './peer-messages.js';

const messages: readonly PeerMessage[] = [
	{
		type: 'report',
		gateway: 'g',
		sequence: 3,
		incarnation: 1,
		settledReservation: 2,
		loads: [{endpoint: 8, running: 1, unreadTokens: 70}],
		prefills: [{endpoint: 8, hash: 5, tokens: 100, isDone: true}],
		leavingEndpoints: [{endpoint: 5, startedAt: 1_700_000_000_001}],
		kept: [{endpoint: 9, leftMs: 120, pacedMs: 200}],
	},
	{
		type: 'ask',
		gateway: 'g',
		number: 4,
		endpoint: 8,
		unreadTokens: 900,
		rank: 1,
		kvCacheTokens: 1200,
	},
	{type: 'answer', number: 4, answer: {type: 'granted'}},
	{
		type: 'answer',
		number: 5,
		answer: {type: 'denied', backlog: {leftMs: 50, pacedMs: 90}},
	},
	{type: 'answer', number: 6, answer: {type: 'full'}},
	{
		type: 'answer',
		number: 6,
		answer: {type: 'limited', retryAfterMs: 412.5},
	},
	{
		type: 'rate limits',
		gateway: 'g',
		notices: [
			{endpoint: 8, startedAt: 3, perSecond: 0.5, ageMs: 20, sent: 7},
			{endpoint: 9, startedAt: 0, perSecond: undefined, ageMs: 0, sent: 0},
		],
	},
	{
		type: 'crashes',
		gateway: 'g',
		notices: {
			crashes: [
				{endpoint: 8, startedAt: 3, ageMs: 20, fingerprints: [4, 2 ** 33 + 5]},
			],
			survivals: [{fingerprint: 4, ageMs: 10}],
			probes: [{fingerprint: 2 ** 33 + 5, ageMs: 0}],
		},
	},
	{
		type: 'health',
		gateway: 'g',
		notices: [
			{endpoint: 8, startedAt: 3, probeAgeMs: 20, successAgeMs: 5},
			{endpoint: 9, startedAt: 0, probeAgeMs: 1, successAgeMs: undefined},
		],
	},
	{type: 'proof ask', number: 7},
	{
		type: 'proof',
		number: 7,
		proof: {
			era: 3,
			configurationVersion: 3,
			configurationAgeMs: 40,
			endpointsDigest: 9,
			endpointsAgeMs: 50,
		},
	},
];

// Guards against fields that are lost or swapped by encoding and decoding.
test('a message is unchanged by encoding and decoding', () => {
	for (const message of messages) {
		expect(decodeMessage(encodeMessage(message))).toEqual(message);
	}
});

// Guards against a gateway that crashes on a stray datagram.
test('bytes that are not a valid message decode to undefined', () => {
	for (const text of ['', '{', '{}', '[1]', 'null', '\u0091\u0001']) {
		expect(decodeMessage(Buffer.from(text))).toEqual(undefined);
	}
});

// Guards against gateways of the version before, which would read nothing of a notice of crashes in another form.
test('a notice of crashes keeps its form on the wire', () => {
	const bytes = encode([9, 'g', [[8, 3, 20, [4, 5]]], [[4, 10]], [[5, 0]]]);
	const message = decodeMessage(bytes);
	expect(message).toEqual({
		type: 'crashes',
		gateway: 'g',
		notices: {
			crashes: [{endpoint: 8, startedAt: 3, ageMs: 20, fingerprints: [4, 5]}],
			survivals: [{fingerprint: 4, ageMs: 10}],
			probes: [{fingerprint: 5, ageMs: 0}],
		},
	});
	expect(encodeMessage(message!)).toEqual(bytes);
});
