import {test} from 'node:test';
import {expect} from 'earl';
import {runExperiment, type ExperimentRow} from './experiment.js';

function run(
	workload: string,
	load: number,
	variants: readonly string[],
	seconds: number,
): ExperimentRow[] {
	return [
		...runExperiment({
			workloads: [workload],
			loads: [load],
			variants,
			seeds: [1],
			seconds,
		}),
	];
}

// Guards against a figure that cannot be repeated from its seed.
test('experiment repeats from its seed', () => {
	const first = run('gebeya-rush', 1.5, ['cicadaswitch'], 15);
	expect(run('gebeya-rush', 1.5, ['cicadaswitch'], 15)).toEqual(first);
});

// Guards against a tight class that loses its target, a class that starves, and work computed for nobody.
test('overload by loose classes keeps the targets of the design', () => {
	const [row] = run('gebeya-rush', 1.5, ['cicadaswitch'], 60);
	expect(row!.attainment.questions!.mean >= 0.99).toEqual(true);
	expect(row!.share!.mean >= 0.9).toEqual(true);
	expect(row!.wasted.mean <= 0.02).toEqual(true);
});

// Guards against a call that runs twice, or model traffic that suffers, when the table is down.
test('table outage only stops calls that must not be repeated', () => {
	const [row] = run('table-outage', 0.7, ['cicadaswitch'], 30);
	expect(row!.attainment.counter!.mean >= 0.99).toEqual(true);
	expect(row!.attainment.drafts!.mean >= 0.6).toEqual(true);
	expect(row!.attainment.drafts!.mean < 0.9).toEqual(true);
});
