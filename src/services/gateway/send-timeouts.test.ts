import {test} from 'node:test';
import {expect} from 'earl';
import type {Route} from '../../interfaces/ports/index.js';
import {sendTimeouts} from './send-timeouts.js';

const stream: Route = {
	name: 'r',
	host: 'h',
	pathPrefix: '/',
	targets: [],
	retryMode: 'resumable',
	isStream: true,
	timeoutMs: 12_000,
	objectiveMs: 2000,
	gapTargetMs: 600,
	maxSends: 2,
	tier: 0,
	isPublic: false,
};

// Guards against a retry storm under overload: requests that are sent again because engines are slow.
test('the first-byte timeout of an engine that is alive exceeds the objective', () => {
	expect(sendTimeouts(stream, 100, true).firstByteMs > 2000).toEqual(true);
	expect(sendTimeouts(stream, 2000, true).firstByteMs > 4000).toEqual(true);
});

// Guards against a stream that cannot be sent again and waits for a dead engine until its caller gives up.
test('the engine of a stream is probed even when the request cannot be sent again', () => {
	const last = sendTimeouts(stream, 100, false);
	const once = sendTimeouts({...stream, retryMode: 'once'}, 100, true);
	expect([last.checkMs, once.checkMs]).toEqual([400, 400]);
	expect([last.gapMs, once.firstByteMs]).toEqual([12_000, 12_000]);
});

// Guards against a request that must not be repeated, such as a booking, and is given up while its service handles it.
test('a request that runs at most once has the whole timeout of its route', () => {
	const booking = sendTimeouts(
		{...stream, retryMode: 'once', isStream: false},
		25,
		true,
	);
	expect([booking.firstByteMs, booking.checkMs]).toEqual([12_000, undefined]);
});
