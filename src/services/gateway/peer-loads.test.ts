import {test} from 'node:test';
import {expect} from 'earl';
import {PeerLoads, type PeerReport} from './peer-loads.js';

function report(
	gateway: string,
	sequence: number,
	unreadTokens: number,
	incarnation = 1,
): PeerReport {
	return {
		gateway,
		sequence,
		incarnation,
		loads: [{endpoint: 7, running: 1, unreadTokens}],
		settledReservation: 0,
		prefills: [],
		kept: [],
		leavingEndpoints: [],
	};
}

// Guards against load that is counted twice or forever when datagrams are delayed, duplicated or lost.
test('only the latest report of each gateway counts, until it is stale', () => {
	const loads = new PeerLoads();
	expect(loads.receive(report('a', 2, 20), 0)).toEqual(true);
	expect(loads.receive(report('a', 1, 10), 0)).toEqual(false);
	loads.receive(report('b', 1, 5), 0);
	expect(loads.at(7, 0)).toEqual({running: 2, unreadTokens: 25});
	expect(loads.receive(report('a', 1, 7, 2), 500)).toEqual(true);
	expect(loads.at(7, 500)).toEqual({running: 2, unreadTokens: 12});
	expect(loads.at(7, 1200)).toEqual({running: 1, unreadTokens: 7});
	expect(loads.count(1200)).toEqual(1);
});
