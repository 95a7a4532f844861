import {test} from 'node:test';
import {expect} from 'earl';
import {Outliers} from './outliers.js';

const names = ['a', 'b', 'c', 'd', 'e', 'f', 'g'];

/** Reports ten first tokens of each endpoint; the slow ones take ten times what they promised. */
function report(
	outliers: Outliers,
	slow: readonly string[],
	now: number,
): void {
	for (const name of names) {
		for (let n = 0; n < 10; n++) {
			outliers.firstToken(name, slow.includes(name) ? 1000 : 100, 100, now);
		}
	}
}

// Guards against ejections that take more capacity than they save.
test('outliers are ejected up to 30% of the endpoints of a model', () => {
	const outliers = new Outliers();
	report(outliers, ['a'], 0);
	expect([...outliers.judge('m', names, 0).ejected]).toEqual(['a']);

	const many = new Outliers();
	report(many, ['a', 'b', 'c'], 0);
	expect(many.judge('m', names, 0).ejected.size).toEqual(2);
});

// Guards against a load that slows all endpoints and ejects some of them.
test('no endpoint is ejected when all are equally slow', () => {
	const outliers = new Outliers();
	report(outliers, names, 0);
	expect(outliers.judge('m', names, 0).ejected.size).toEqual(0);
});

// Guards against an endpoint that stays out for ever, and against one that comes back slow with full load.
test('an ejected endpoint is readmitted by a probe, or ejected twice as long', () => {
	const outliers = new Outliers();
	report(outliers, ['a'], 0);
	outliers.judge('m', names, 0);
	expect(outliers.judge('m', names, 4999).probe).toEqual(undefined);
	expect(outliers.judge('m', names, 5000).probe).toEqual('a');
	expect(outliers.judge('m', names, 5001).ejected.has('a')).toEqual(true);
	outliers.firstToken('a', 1000, 100, 6000);
	expect(outliers.judge('m', names, 15_999).probe).toEqual(undefined);
	expect(outliers.judge('m', names, 16_000).probe).toEqual('a');
	outliers.firstToken('a', 100, 100, 16_100);
	expect(outliers.judge('m', names, 16_100).ejected.size).toEqual(0);
});

// Guards against a straggler that keeps its promises of first tokens but streams slowly.
test('slow gaps eject an endpoint', () => {
	const outliers = new Outliers();
	report(outliers, [], 0);
	for (const name of names) {
		for (let n = 0; n < 200; n++) {
			outliers.gap(name, name === 'b' ? 120 : 25, 32);
		}
	}

	expect([...outliers.judge('m', names, 0).ejected]).toEqual(['b']);
});
