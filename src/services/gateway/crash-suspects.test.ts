import {test} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {CrashNotices} from './crash-notices.js';
import {CrashSuspects} from './crash-suspects.js';

const first = 1;
const deadly = 2;
const other = 3;

/** Fingerprints of the last part of a prompt, and of requests themselves. */
const ownPart = 2 ** 32 + 4;
const request = 2 ** 33 + 5;
const otherRequest = 2 ** 33 + 6;

function recordCrash(
	suspects: CrashSuspects,
	endpoint: number,
	startedAt: number,
	fingerprints: readonly number[],
	at: number,
): boolean {
	return suspects.recordCrash({endpoint, startedAt, at, fingerprints}, at);
}

/** Suspects after two crashes under requests with a harmless first part and a deadly one. */
function afterTwoCrashes(): CrashSuspects {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [first, deadly], 1000);
	recordCrash(suspects, 11, 1, [first, deadly, other], 2000);
	return suspects;
}

// Guards against withholding whatever an engine was working on when it crashed for another reason.
test('one crash withholds no part', () => {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [deadly], 1000);
	expect(suspects.check([deadly], 1001)).toEqual({type: 'clear'});
});

// Guards against a popular part that is withheld because several engines lost power at once.
test('engines that crash together count as one crash', () => {
	const suspects = new CrashSuspects();
	for (const [index, at] of [1000, 1100, 1200, 1240].entries()) {
		recordCrash(suspects, index, 1, [deadly], at);
	}

	expect(suspects.check([deadly], 1300)).toEqual({type: 'clear'});
});

// Guards against callers that send a request at once to several servers, whose crashes then count as one, again and again.
test('a request whose endpoints crash together probes, one at a time', () => {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [first, request], 1000);
	expect(suspects.check([first, request], 1001)).toEqual({type: 'clear'});
	recordCrash(suspects, 11, 1, [first, request], 1020);
	expect(suspects.check([first, request], 1030)).toEqual({type: 'probe'});
	suspects.beginProbe([first, request], 1030);
	recordCrash(suspects, 12, 1, [first, request], 1040);
	expect(suspects.check([first, request], 1050)).toEqual({type: 'wait'});
	expect(suspects.check([first, otherRequest], 1050)).toEqual({type: 'clear'});
	expect(suspects.check([first, request], 1430)).toEqual({type: 'probe'});
	recordCrash(suspects, 13, 1, [first, request], 1450);
	expect(suspects.check([first, request], 1460).type).toEqual('withheld');
});

// Guards against a popular request that is refused because many of it were in progress when servers failed together.
test('the first answer clears a request whose endpoints crashed together', () => {
	const suspects = new CrashSuspects();
	for (const [index, at] of [1000, 1010, 1020, 1030].entries()) {
		recordCrash(suspects, index, 1, [request, otherRequest], at);
	}

	suspects.beginProbe([request], 1040);
	expect(suspects.check([request], 1050, true).type).toEqual('wait');
	suspects.recordSurvival([request], 1080);
	expect(suspects.check([request], 1090)).toEqual({type: 'clear'});
});

// Guards against requests that crash further engines, and against withholding sound ones that share their other parts.
test('a request with all parts that explain the crashes is withheld, and one with some of them probes', () => {
	const suspects = afterTwoCrashes();
	expect(suspects.check([first, deadly], 2100)).toEqual({
		type: 'withheld',
		fingerprint: first,
		kind: 'shared part',
		crashes: 2,
		retryAfterMs: 3900,
	});
	expect(suspects.check([first], 2100)).toEqual({type: 'probe'});
	expect(suspects.check([other], 2100)).toEqual({type: 'clear'});
	suspects.beginProbe([first], 2100);
	expect(suspects.check([first], 2200)).toEqual({type: 'wait'});
	expect(suspects.recordSurvival([first], 2500)).toEqual(true);
	expect(suspects.check([first], 2600)).toEqual({type: 'clear'});
	expect(suspects.check([first, deadly], 2600).type).toEqual('withheld');
	expect(suspects.withheld(2600).map(({fingerprint}) => fingerprint)).toEqual([
		deadly,
	]);
});

// Guards against a caller that sends the same request again, and against sound requests with the same prompt parts that are refused with it.
test('a request at two crashes is withheld, and others with its prompt parts probe', () => {
	const suspects = new CrashSuspects();
	const fingerprints = [first, deadly, ownPart, request];
	recordCrash(suspects, 10, 1, fingerprints, 1000);
	recordCrash(suspects, 11, 1, [...fingerprints, other], 2000);
	expect(suspects.check(fingerprints, 2100).type).toEqual('withheld');
	const sound = [first, deadly, 2 ** 32 + 8, otherRequest];
	expect(suspects.check(sound, 2100)).toEqual({type: 'probe'});
	suspects.recordSurvival(sound, 2200);
	expect(suspects.check(sound, 2300)).toEqual({type: 'clear'});
	expect(suspects.check(fingerprints, 2300)).toEqual({
		type: 'withheld',
		fingerprint: ownPart,
		kind: 'last part',
		crashes: 2,
		retryAfterMs: 59_700,
	});
});

// Guards against a prompt part that seems harmless because only one request with it has crashed engines so far.
test('a part is withheld after one more crash when one request explains the first two', () => {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [deadly, request], 1000);
	recordCrash(suspects, 11, 1, [deadly, request], 2000);
	const second = [deadly, otherRequest];
	expect(suspects.check(second, 2100)).toEqual({type: 'probe'});
	suspects.beginProbe(second, 2100);
	expect(suspects.check([deadly, 2 ** 33 + 7], 2200)).toEqual({type: 'wait'});
	recordCrash(suspects, 12, 1, second, 2400);
	for (const third of [second, [deadly, 2 ** 33 + 7]]) {
		const verdict = suspects.check(third, 2500);
		expect(verdict.type === 'withheld' && verdict.crashes).toEqual(3);
	}
});

// Guards against engines that crash one after the other because several requests in progress have the part.
test('a request in progress with a part that one request explains is cancelled unless it probes', () => {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [deadly, request], 1000);
	recordCrash(suspects, 11, 1, [deadly, request], 2000);
	const second = [deadly, otherRequest];
	expect(suspects.check(second, 2100, true).type).toEqual('withheld');
	suspects.beginProbe(second, 2100);
	expect(suspects.check(second, 2200, true).type).toEqual('wait');
});

// Guards against refusing a popular request as a class because it was in progress at both crashes.
test('a request that another one excuses probes at once, and its survival ends the excuse of the other', () => {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [request, otherRequest], 1000);
	recordCrash(suspects, 11, 1, [request, otherRequest], 2000);
	expect(suspects.check([otherRequest], 2100)).toEqual({type: 'probe'});
	suspects.recordSurvival([otherRequest], 2150);
	expect(suspects.check([otherRequest], 2200)).toEqual({type: 'clear'});
	expect(suspects.check([request], 2200).type).toEqual('withheld');
});

// Guards against two requests that excuse each other and crash one endpoint after the other together, so that it stays unknown which of them does.
test('requests that excuse each other probe one after the other', () => {
	const suspects = new CrashSuspects();
	recordCrash(suspects, 10, 1, [first, request, other, otherRequest], 1000);
	recordCrash(suspects, 11, 1, [first, request, other, otherRequest], 2000);
	suspects.beginProbe([first, request], 2100);
	expect(suspects.check([other, otherRequest], 2110)).toEqual({type: 'wait'});
	recordCrash(suspects, 12, 1, [first, request], 2300);
	expect(suspects.check([first, request], 2310).type).toEqual('withheld');
	expect(suspects.check([other, otherRequest], 2310)).toEqual({type: 'probe'});
});

// Guards against a deadly request that is excused at each crash by another one that never ends.
test('a request is excused at three crashes at most', () => {
	const suspects = new CrashSuspects();
	for (const [index, at] of [1000, 2000, 3000].entries()) {
		recordCrash(suspects, index, 1, [request, otherRequest], at);
	}

	expect(suspects.check([request], 3100)).toEqual({type: 'probe'});
	recordCrash(suspects, 4, 1, [request, otherRequest], 4000);
	expect(suspects.check([request], 4100).type).toEqual('withheld');
});

// Guards against datagrams that grow with the requests in progress at crashed endpoints.
test('a notice names a bounded number of fingerprints, those of the latest crashes first', () => {
	const suspects = new CrashSuspects();
	for (let endpoint = 0; endpoint < 10; endpoint++) {
		const fingerprints = Array.from(
			{length: 200},
			(_, index) => 2 ** 33 + endpoint * 200 + index,
		);
		recordCrash(suspects, endpoint, 1, fingerprints, 1000 + endpoint);
	}

	const {crashes} = suspects.notices(1100, false)!;
	expect(crashes.map(({endpoint}) => endpoint)).toEqual([7, 8, 9]);
	expect(crashes.flatMap(({fingerprints}) => fingerprints).length).toEqual(600);
});

// Guards against a part that is withheld for good, and one that crashes an engine every few seconds.
test('a withheld part is probed once its time is over, and withheld for longer after another crash', () => {
	const suspects = afterTwoCrashes();
	suspects.recordSurvival([first], 2500);
	const parts = [first, deadly];
	expect(suspects.check(parts, 6100)).toEqual({type: 'probe'});
	suspects.beginProbe(parts, 6100);
	expect(suspects.check(parts, 6200)).toEqual({type: 'wait'});
	recordCrash(suspects, 12, 1, parts, 6500);
	expect(suspects.check(parts, 6600)).toEqual({
		type: 'withheld',
		fingerprint: deadly,
		kind: 'shared part',
		crashes: 3,
		retryAfterMs: 59_900,
	});
});

// Guards against a probe whose answer is lost and that keeps all others back.
test('a probe without outcome is followed by another one', () => {
	const suspects = afterTwoCrashes();
	suspects.beginProbe([first], 2100);
	expect(suspects.check([first], 5000)).toEqual({type: 'wait'});
	expect(suspects.check([first], 5200)).toEqual({type: 'probe'});
});

// Guards against gateways that disagree because datagrams were lost, repeated or reordered.
test('notices in any order and number lead to the same state', () => {
	const crash = fc.record({
		endpoint: fc.nat(5),
		startedAt: fc.nat(1),
		ageMs: fc.nat(5000),
		fingerprints: fc.array(fc.nat(4), {maxLength: 4}),
	});
	const survival = fc.record({fingerprint: fc.nat(4), ageMs: fc.nat(5000)});
	const notices: fc.Arbitrary<CrashNotices> = fc.record({
		crashes: fc.array(crash, {maxLength: 3}),
		survivals: fc.array(survival, {maxLength: 2}),
		probes: fc.constant([]),
	});
	const now = 10_000;
	fc.assert(
		fc.property(
			fc.array(notices, {minLength: 1, maxLength: 6}),
			fc.array(fc.nat(5), {maxLength: 12}),
			(sent, repeats) => {
				const inOrder = new CrashSuspects();
				for (const notice of sent) {
					inOrder.apply(notice, now);
				}

				const reordered = new CrashSuspects();
				for (const index of repeats) {
					reordered.apply(sent[index % sent.length]!, now);
				}

				for (const notice of sent.toReversed()) {
					reordered.apply(notice, now);
				}

				for (const notice of sent) {
					reordered.apply(notice, now);
				}

				const sorted = (suspects: CrashSuspects) =>
					suspects
						.withheld(now)
						.toSorted((a, b) => a.fingerprint - b.fingerprint);
				expect(sorted(reordered)).toEqual(sorted(inOrder));
			},
		),
		{numRuns: 2000, seed: 34},
	);
});

// Guards against a gateway that joins later and sends a part that all others withhold.
test('a full notice tells a new gateway what is withheld', () => {
	const suspects = afterTwoCrashes();
	suspects.recordSurvival([first], 2500);
	expect(suspects.notices(60_000, false)).toEqual(undefined);
	const joined = new CrashSuspects();
	joined.apply(suspects.notices(60_000, true)!, 60_000);
	expect(joined.withheld(60_000)).toEqual(suspects.withheld(60_000));
});

// Guards against memory that grows with the parts that callers name.
test('the number of parts that are kept is bounded', () => {
	const suspects = new CrashSuspects();
	for (let index = 0; index < 1000; index++) {
		const parts = Array.from({length: 200}, (_, part) => index * 200 + part);
		recordCrash(suspects, index, 1, parts, index * 300);
		recordCrash(suspects, index, 2, parts, index * 300 + 1000);
	}

	expect(suspects.withheld(300_000).length <= 200 * 128).toEqual(true);
});

// Guards against datagrams that grow with the number of gateways, as each would pass on what all others observed.
test('a notice holds only what this gateway observed', () => {
	const suspects = new CrashSuspects();
	suspects.apply(
		{
			crashes: [{endpoint: 10, startedAt: 1, ageMs: 0, fingerprints: [first]}],
			survivals: [],
			probes: [],
		},
		1000,
	);
	expect(suspects.notices(1000, false)).toEqual(undefined);
	recordCrash(suspects, 10, 1, [deadly], 1001);
	expect(suspects.notices(1001, false)?.crashes[0]?.fingerprints).toEqual([
		deadly,
	]);
});

// Guards against a crash that only becomes known after its engine has been probed for some seconds, and that the other gateways are never told of.
test('a crash that becomes known late is told to the other gateways', () => {
	const own = new CrashSuspects();
	const other = new CrashSuspects();
	recordCrash(other, 10, 1, [deadly], 1000);
	own.recordCrash(
		{endpoint: 11, startedAt: 1, at: 2000, fingerprints: [deadly]},
		5000,
	);
	other.apply(own.notices(5010, false)!, 5010);
	expect(other.check([deadly], 5010).type).toEqual('withheld');
});
