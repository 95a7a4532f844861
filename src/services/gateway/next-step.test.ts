import {test} from 'node:test';
import {expect} from 'earl';
import {
	isAnswer,
	mayHedge,
	nextStep,
	type RequestState,
	type DecisiveEnd,
} from './next-step.js';

const state: RequestState = {
	retryMode: 'idempotent',
	sends: 1,
	maxSends: 2,
	failedConnections: 0,
	mayHaveRun: true,
	isPartlyDelivered: false,
	remainingMs: 1000,
	hasFailure: false,
	hasBackup: false,
};

const ends: DecisiveEnd[] = [
	{type: 'unsent', reason: ''},
	{type: 'rejected', status: 503, retryAfterMs: undefined},
	{type: 'answered', status: 500},
	{type: 'broken', reason: ''},
	{type: 'silent', reason: ''},
	{type: 'gone', reason: ''},
	{type: 'expired'},
];

const yes = () => true;
const no = () => false;

// Guards against a repeated send of a request that runs at most once and may have run.
test('a request that runs at most once is sent again only when it has not run', () => {
	const once: RequestState = {
		...state,
		retryMode: 'once',
		maxSends: 3,
		mayHaveRun: false,
	};
	for (const end of ends) {
		const step = nextStep(end, once, yes);
		const hasNotRun = end.type === 'unsent' || end.type === 'rejected';
		expect([end.type, step.type === 'send']).toEqual([end.type, hasNotRun]);
		// A send that resumes the run from its replica may end as unsent or rejected too.
		const again = nextStep(end, {...once, mayHaveRun: true}, yes);
		expect([end.type, again.type]).not.toEqual([end.type, 'send']);
	}
});

// Guards against a refusal, which promises that the request has not run, after a send that may have run.
test('a refusal follows only when no send may have run', () => {
	for (const end of ends) {
		const exhausted: RequestState = {...state, sends: 2, failedConnections: 3};
		const ran = nextStep(end, exhausted, no);
		expect(ran.type === 'refuse').toEqual(false);
		const unrun = nextStep(end, {...exhausted, mayHaveRun: false}, no);
		const isRefusable =
			end.type === 'unsent' ||
			end.type === 'rejected' ||
			end.type === 'expired';
		if (isRefusable) {
			expect(unrun.type).toEqual('refuse');
		}
	}
});

// Guards against an answer that starts a second time, or that looks complete although it is not.
test('a partly delivered answer is continued or aborted', () => {
	const begun: RequestState = {...state, isPartlyDelivered: true};
	const end: DecisiveEnd = {type: 'broken', reason: 'reset'};
	expect(nextStep(end, {...begun, retryMode: 'resumable'}, yes).type).toEqual(
		'send',
	);
	expect(nextStep(end, {...begun, retryMode: 'once'}, yes).type).toEqual('cut');
	expect(
		nextStep(end, {...begun, retryMode: 'resumable', sends: 2}, yes).type,
	).toEqual('cut');
	const failure: DecisiveEnd = {type: 'answered', status: 500};
	expect(nextStep(failure, {...begun, sends: 2}, yes).type).toEqual('cut');
});

// Guards against retries beyond the shared retry budget, and against a budget that is spent on retries that do not happen.
test('a retry is taken from the budget only when one is possible', () => {
	let retriesTaken = 0;
	const takeRetry = () => {
		retriesTaken++;
		return false;
	};

	expect(nextStep(ends[3]!, state, takeRetry).type).toEqual('fail');
	expect(retriesTaken).toEqual(1);
	nextStep(ends[3]!, {...state, sends: 2}, takeRetry);
	nextStep(ends[3]!, {...state, remainingMs: 1}, takeRetry);
	nextStep(ends[3]!, {...state, retryMode: 'once'}, takeRetry);
	expect(retriesTaken).toEqual(1);
});

// Guards against the failure response of an endpoint that is lost when the repeated send fails as well.
test('an earlier failure response is delivered when the repeated send brought no answer', () => {
	const step = nextStep(ends[3]!, {...state, sends: 2, hasFailure: true}, yes);
	expect(step.type).toEqual('deliver failure');
});

// Guards against an answer that is lost with its engine although another one keeps a replica of the run, and against a replica that is used beyond the retry budget or when the engine itself answered.
test('an interrupted run is resumed from its replica in every retry mode', () => {
	const copied: RequestState = {
		...state,
		retryMode: 'once',
		maxSends: 1,
		isPartlyDelivered: true,
		hasBackup: true,
	};
	for (const end of ends) {
		const isLost =
			end.type === 'broken' || end.type === 'silent' || end.type === 'gone';
		const step = nextStep(end, copied, yes);
		expect([end.type, step.type === 'resume']).toEqual([end.type, isLost]);
		expect(nextStep(end, copied, no).type === 'resume').toEqual(false);
	}

	const late = {...copied, remainingMs: 10};
	expect(nextStep(ends[3]!, late, yes).type).toEqual('cut');
});

// Guards against a request that is sent to more servers than it may be, and against a retry that is taken for a hedge that cannot be sent.
test('a request is hedged only with a retry, which is taken last', () => {
	expect(mayHedge(state, yes)).toEqual(true);
	const begun: RequestState = {...state, isPartlyDelivered: true};
	expect(mayHedge({...begun, retryMode: 'resumable'}, yes)).toEqual(true);
	let retriesTaken = 0;
	const takeRetry = () => {
		retriesTaken++;
		return true;
	};

	for (const fixed of [
		begun,
		{...state, sends: 2},
		{...state, remainingMs: 1},
		{...state, retryMode: 'once'},
	] as const) {
		expect(mayHedge(fixed, takeRetry)).toEqual(false);
	}

	expect([mayHedge(state, no), retriesTaken]).toEqual([false, 0]);
});

// Guards against the answer of a sound server that is given up for another one's failure, or for an error in place of the rest of a stream.
test('a failure, and an error in place of the rest of a stream, leave the other sends of a request in progress', () => {
	for (const end of ends) {
		expect([end.type, isAnswer(end, false)]).toEqual([end.type, false]);
	}

	const refusal: DecisiveEnd = {type: 'answered', status: 404};
	expect([isAnswer(refusal, false), isAnswer(refusal, true)]).toEqual([
		true,
		false,
	]);
	expect(isAnswer({type: 'delivered'}, true)).toEqual(true);
});
