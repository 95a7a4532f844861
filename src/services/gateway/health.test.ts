import {test} from 'node:test';
import {expect} from 'earl';
import {Health} from './health.js';

// Guards against a crashed endpoint that gets requests all the time, and against one that is never used again.
test('ejections double while probes fail, and end with the first success', () => {
	const health = new Health();
	health.block(0);
	expect(health.blockedMs(0)).toEqual(500);
	health.block(100);
	expect(health.blockedMs(100)).toEqual(400);
	expect([health.blockedMs(600), health.isOnTrial]).toEqual([0, true]);
	health.failed(600);
	expect(health.blockedMs(600)).toEqual(1000);
	health.succeeded(2000);
	expect([health.blockedMs(2000), health.isOnTrial]).toEqual([0, false]);
});

// Guards against an endpoint that is avoided for good because no further requests update its failure rate.
test('the failure rate decays without outcomes', () => {
	const health = new Health();
	for (let count = 0; count < 20; count++) {
		health.failed(0);
	}

	expect(health.failingPart(0) > 0.9).toEqual(true);
	expect(health.failingPart(20_000) < 0.01).toEqual(true);
});

/** Health of one endpoint at several gateways, each of which has ejected it. */
function ejectedAt(count: number): Health[] {
	return Array.from({length: count}, () => {
		const health = new Health();
		health.block(0);
		return health;
	});
}

/** Probes at every gateway that may do so, each of which informs the others at once; returns how many did. */
function probe(gateways: readonly Health[], now: number): number {
	let probes = 0;
	for (const health of gateways.filter(({isOnTrial}) => isOnTrial)) {
		if (health.mayProbe(now)) {
			probes++;
			health.beginProbe(now);
			for (const other of gateways.filter((item) => item !== health)) {
				other.applyProbeNotice(health.probeNotice(now)!, now);
			}
		}
	}

	return probes;
}

// Guards against a request of each gateway that fails at an endpoint which is still down.
test('all gateways together probe an ejected endpoint once', () => {
	const gateways = ejectedAt(31);
	expect(probe(gateways, 600)).toEqual(1);
	expect(probe(gateways.slice(1), 900)).toEqual(0);
	expect(probe(gateways.slice(1), 1700)).toEqual(1);
});

// Guards against an endpoint that is up and gets requests of one gateway after the other, a second apart.
test('a successful probe lets all gateways probe', () => {
	const gateways = ejectedAt(3);
	const [prober, ...others] = gateways as [Health, ...Health[]];
	expect(probe(gateways, 600)).toEqual(1);
	prober.succeeded(650);
	for (const other of others) {
		other.applyProbeNotice(prober.probeNotice(660)!, 660);
	}

	expect(others.map((other) => other.mayProbe(660))).toEqual([true, true]);
});

// Guards against a late or repeated notice that holds an endpoint back.
test('an older notice changes nothing', () => {
	const health = new Health();
	health.block(0);
	const success = {probeAgeMs: 100, successAgeMs: 50};
	health.applyProbeNotice(success, 700);
	health.applyProbeNotice({probeAgeMs: 150, successAgeMs: undefined}, 710);
	expect(health.mayProbe(710)).toEqual(true);
});

// Guards against a notice that no gateway can decode, because no probe preceded the success.
test('the success of a request from before the ejection is reported with finite ages', () => {
	const health = new Health();
	health.block(100);
	health.succeeded(200);
	expect(health.probeNotice(250)).toEqual({probeAgeMs: 150, successAgeMs: 50});
});
