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

// Guards against an experiment whose results differ between two runs with the same seed.
test('an experiment gives the same results for the same seed', () => {
	const first = run('gebeya-rush', 1.5, ['cicadaswitch'], 15);
	expect(run('gebeya-rush', 1.5, ['cicadaswitch'], 15)).toEqual(first);
});

// Guards against overload that makes a tight class miss its target, starves a class, or generates tokens that no caller receives.
test('overload by loose classes stays within the design targets', () => {
	const [row] = run('gebeya-rush', 1.5, ['cicadaswitch'], 60);
	expect(row!.attainment.questions!.mean >= 0.99).toEqual(true);
	expect(row!.share!.mean >= 0.9).toEqual(true);
	expect(row!.wasted.mean <= 0.02).toEqual(true);
});

// Guards against a table outage that lets a call run twice or slows model requests down.
test('a table outage only stops calls that must not run twice', () => {
	const [row] = run('table-outage', 0.7, ['cicadaswitch'], 30);
	expect(row!.attainment.counter!.mean >= 0.99).toEqual(true);
	expect(row!.attainment.drafts!.mean >= 0.6).toEqual(true);
	expect(row!.attainment.drafts!.mean < 0.9).toEqual(true);
});
