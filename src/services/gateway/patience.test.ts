import {test} from 'node:test';
import {expect} from 'earl';
import type {Route} from '../../interfaces/ports/index.js';
import {patience} from './patience.js';

const stream: Route = {
	name: 'r',
	host: 'h',
	pathPrefix: '/',
	targets: [],
	repetition: 'resumable',
	isStream: true,
	timeoutMs: 12_000,
	objectiveMs: 2000,
	gapTargetMs: 600,
	maxSends: 2,
	tier: 0,
	isPublic: false,
};

// Guards against an overload that feeds itself: requests that are sent again because engines are slow.
test('an engine that is alive has more than its objective', () => {
	expect(patience(stream, 100, true).firstByteMs > 2000).toEqual(true);
	expect(patience(stream, 2000, true).firstByteMs > 4000).toEqual(true);
});

// Guards against a stream that waits for a dead engine until its caller gives up, although nothing else can be tried.
test('a stream asks whether its engine is alive even when it cannot be sent again', () => {
	const last = patience(stream, 100, false);
	const once = patience({...stream, repetition: 'once'}, 100, true);
	expect([last.checkMs, once.checkMs]).toEqual([400, 400]);
	expect([last.gapMs, once.firstByteMs]).toEqual([12_000, 12_000]);
});

// Guards against a booking that is given up while its service works on it.
test('a request that runs at most once has all of its time', () => {
	const booking = patience(
		{...stream, repetition: 'once', isStream: false},
		25,
		true,
	);
	expect([booking.firstByteMs, booking.checkMs]).toEqual([12_000, undefined]);
});
