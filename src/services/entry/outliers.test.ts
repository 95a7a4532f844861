import {test} from 'node:test';
import {expect} from 'earl';
import {Outliers} from './outliers.js';

const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];

/** Adds ten first-token times of each endpoint; the slow ones take ten times as long as promised. */
function report(
	outliers: Outliers,
	slow: readonly string[],
	now: number,
): void {
	for (const name of names) {
		for (let n = 0; n < 10; n++) {
			outliers.recordFirstToken(
				name,
				slow.includes(name) ? 1000 : 100,
				100,
				now,
			);
		}
	}
}

// Guards against ejections that remove more capacity than the outliers cost.
test('at most 30% of the endpoints of a model are ejected', () => {
	const outliers = new Outliers();
	report(outliers, ['a'], 0);
	expect([...outliers.evaluate('m', names, 0).ejected]).toEqual(['a']);

	const many = new Outliers();
	report(many, ['a', 'b', 'c'], 0);
	expect(many.evaluate('m', names, 0).ejected.size).toEqual(2);
});

// Guards against ejecting endpoints when high load slows all of them.
test('no endpoint is ejected when all are equally slow', () => {
	const outliers = new Outliers();
	report(outliers, names, 0);
	expect(outliers.evaluate('m', names, 0).ejected.size).toEqual(0);
});

// Guards against an endpoint that stays ejected for ever, and against full load on one that is still slow.
test('an ejected endpoint is readmitted by a probe, or ejected twice as long', () => {
	const outliers = new Outliers();
	report(outliers, ['a'], 0);
	outliers.evaluate('m', names, 0);
	expect(outliers.evaluate('m', names, 4999).probe).toEqual(undefined);
	expect(outliers.evaluate('m', names, 5000).probe).toEqual('a');
	expect(outliers.evaluate('m', names, 5001).ejected.has('a')).toEqual(true);
	outliers.recordFirstToken('a', 1000, 100, 6000);
	expect(outliers.evaluate('m', names, 15_999).probe).toEqual(undefined);
	expect(outliers.evaluate('m', names, 16_000).probe).toEqual('a');
	outliers.recordFirstToken('a', 100, 100, 16_100);
	expect(outliers.evaluate('m', names, 16_100).ejected.size).toEqual(0);
});

// Guards against missing a straggler whose first tokens are on time but whose stream is slow.
test('long gaps between chunks eject an endpoint', () => {
	const outliers = new Outliers();
	report(outliers, [], 0);
	for (const name of names) {
		for (let n = 0; n < 200; n++) {
			outliers.recordGap(name, name === 'b' ? 120 : 25, 32);
		}
	}

	expect([...outliers.evaluate('m', names, 0).ejected]).toEqual(['b']);
});
