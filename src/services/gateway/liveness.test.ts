import {test} from 'node:test';
import {expect} from 'earl';
import {
	judgeLiveness as judgeEndpoint,
	livenessOfConnection,
	maxPauseMs,
	type ConnectionState,
	withReceivedData,
	type Liveness,
	type ProbeOutcome,
} from './liveness.js';

const startedAt = 7;
const alive: Liveness = {type: 'alive'};
const undecided: Liveness = {type: 'undecided'};
const silent: Liveness = {type: 'silent'};
const none: ProbeOutcome = {type: 'silent'};
const refused: ProbeOutcome = {type: 'refused'};
const closed: ProbeOutcome = {type: 'closed'};

function answered(start: number | undefined): ProbeOutcome {
	return {
		type: 'answered',
		report: {usedTokens: 0, totalTokens: 1, startedAt: start},
	};
}

function judgeLiveness(
	outcomes: readonly ProbeOutcome[],
	startedAt: number | undefined,
	silentMs: number,
	connection: ConnectionState = 'open',
	isLeaving = false,
): Liveness {
	return judgeEndpoint(outcomes, {
		startedAt,
		silentMs,
		connection,
		isLeaving,
	});
}

// Guards against answers that are ended at a sound server because it pauses, and against new requests to a dead one.
test('mere silence never counts as the end of an endpoint, and as silence only after the longest pause', () => {
	expect(judgeLiveness([none, none], startedAt, 1200)).toEqual(undecided);
	for (const silentMs of [maxPauseMs, 60_000]) {
		expect(judgeLiveness([none, none], startedAt, silentMs)).toEqual(silent);
	}
});

// Guards against callers who wait for a process that has ended.
test('a newer incarnation, or a refused connection after one was closed, shows at once that an endpoint is gone', () => {
	expect(judgeLiveness([refused, refused], startedAt, 400, 'closed')).toEqual({
		type: 'gone',
		cause: 'refused',
	});
	expect(judgeLiveness([answered(8), none], startedAt, 400)).toEqual({
		type: 'gone',
		cause: 'newer incarnation',
	});
});

// Guards against answers that are ended at a server which has closed its listener and goes on with its connections, and against one that is waited for until the deadline.
test('an endpoint that refuses connections while one is open counts as gone only after the longest pause', () => {
	expect(judgeLiveness([refused, refused], startedAt, 1200)).toEqual(undecided);
	expect(judgeLiveness([refused, refused], startedAt, maxPauseMs)).toEqual({
		type: 'gone',
		cause: 'refused',
	});
	expect(judgeLiveness([refused, none], startedAt, 400, 'closed')).toEqual(
		undecided,
	);
});

// Guards against a crash that is taken for mere silence because the packets of one probe are lost.
test('one refused probe shows a crash when the other one stays silent', () => {
	expect(judgeLiveness([refused, none], startedAt, maxPauseMs)).toEqual({
		type: 'gone',
		cause: 'refused',
	});
});

// Guards against a single lost or refused probe that outweighs an answer.
test('one answer of the incarnation shows that it is alive', () => {
	for (const other of [none, refused, closed, answered(8)]) {
		for (const start of [startedAt, undefined]) {
			expect(
				judgeLiveness([other, answered(start)], startedAt, maxPauseMs),
			).toEqual(alive);
		}
	}

	expect(judgeLiveness([answered(8)], undefined, 400)).toEqual(alive);
	expect(judgeLiveness([refused, none], startedAt, 400)).toEqual(undecided);
});

// Guards against answers that are ended at a server that has as many connections as it accepts.
test('an endpoint that closes new connections is not gone', () => {
	expect(judgeLiveness([closed, closed], startedAt, 400)).toEqual(undecided);
	expect(judgeLiveness([closed, none], startedAt, maxPauseMs)).toEqual(alive);
});

// Guards against a crash that is overlooked because the last bytes of another stream are read after the probes of its engine began.
test('last bytes do not outweigh refused probes or a newer incarnation', () => {
	for (const outcomes of [
		[refused, refused],
		[answered(8), none],
	]) {
		const judged = judgeLiveness(outcomes, startedAt, 400, 'closed');
		expect(withReceivedData(judged, true)).toEqual(judged);
		expect(judged.type).toEqual('gone');
	}

	expect(withReceivedData(undecided, true)).toEqual(alive);
	expect(withReceivedData(undecided, false)).toEqual(undecided);
});

// Guards against a request that is ended at the incarnation that runs it, and against one that is waited for at an incarnation that has ended.
test('a newer incarnation ends only what was sent to the one before', () => {
	const restarted: Liveness = {type: 'gone', cause: 'newer incarnation'};
	expect(livenessOfConnection(restarted, 1000, 1400)).toEqual(restarted);
	expect(livenessOfConnection(restarted, 1500, 1400)).toEqual(silent);
	const over: Liveness = {type: 'gone', cause: 'refused'};
	for (const checked of [alive, silent, over]) {
		expect(livenessOfConnection(checked, 1500, 1400)).toEqual(checked);
	}
});

// Guards against answers that are ended at a server that has closed its listener to finish them.
test('a server that is leaving and refuses connections has only ended when its own connection is closed', () => {
	const refusals = [refused, refused];
	expect(judgeLiveness(refusals, startedAt, maxPauseMs, 'open', true)).toEqual(
		silent,
	);
	expect(judgeLiveness(refusals, startedAt, 0, 'closed', true)).toEqual({
		type: 'gone',
		cause: 'refused',
	});
});
