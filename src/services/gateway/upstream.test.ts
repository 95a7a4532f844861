import {test} from 'node:test';
import {expect} from 'earl';
import {maxPauseMs} from './liveness.js';
import type {SendEnd} from './next-step.js';
import {PeerLoads} from './peer-loads.js';
import {Upstream} from './upstream.js';

/** Whether an endpoint that has last sent data at `receivedAt` is ejected when a send that started at 1000 ends. */
function isEjected(end: SendEnd, silentMs: number, receivedAt = 900): boolean {
	const upstream = new Upstream(
		{
			id: 'e',
			service: 's',
			address: '10.0.0.1:80',
			dataCentre: 'd',
			isDraining: false,
			slots: 8,
			startedAt: 1,
			warmUpMs: 0,
		},
		0,
		undefined,
		new PeerLoads(),
	);
	upstream.recordDataReceived(receivedAt);
	upstream.ended(end, 1000, 1000 + silentMs);
	return upstream.unavailableMs(1000 + silentMs) > 0;
}

// Guards against the ejection of sound endpoints that pause, which moves all work to the others, and against requests to endpoints that have ended.
test('an endpoint is ejected for silence only after the longest pause', () => {
	const moved: SendEnd = {type: 'moved', reason: ''};
	expect(isEjected(moved, 1200)).toEqual(false);
	expect(isEjected(moved, maxPauseMs)).toEqual(true);
	expect(isEjected({type: 'silent', reason: ''}, maxPauseMs)).toEqual(true);
	expect(isEjected({type: 'gone', reason: ''}, 400)).toEqual(true);
	const ends: SendEnd[] = [{type: 'superseded'}, {type: 'expired'}];
	expect(ends.some((end) => isEjected(end, 60_000))).toEqual(false);
});

// Guards against a sound endpoint that gets no requests for half a second and longer because the first packet of a connection was lost, and against requests to one that has ended.
test('a failed connection ejects only an endpoint that has answered nothing meanwhile', () => {
	const unsent: SendEnd = {type: 'unsent', reason: ''};
	expect(isEjected(unsent, 400, 1300)).toEqual(false);
	expect(isEjected(unsent, 400)).toEqual(true);
	expect(isEjected(unsent, 0, 1000)).toEqual(true);
});
