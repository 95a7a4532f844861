import {test} from 'node:test';
import {expect} from 'earl';
import {knownFailure} from './known-failure.js';
import {
	campaigns,
	checkCampaign,
	type Campaign,
	type Finding,
} from './index.js';

/** Seed and runs of each campaign in continuous integration; `cicadaswitch fuzz` tries others. */
const budgets = new Map([
	['faulty', {seed: 1, runs: 300}],
	['keyed', {seed: 1, runs: 600}],
	['calm', {seed: 1, runs: 200}],
	['backlog', {seed: 1, runs: 50}],
	['flood', {seed: 1, runs: 2}],
	['burst', {seed: 1, runs: 4}],
]);

// Each guards against a violation of the invariant in the property's comment, in runs that are repeatable from the seed.
for (const campaign of campaigns) {
	addPropertyTests(campaign);
}

/** One test for each property; all use the same runs. */
function addPropertyTests(campaign: Campaign): void {
	const {seed, runs} = budgets.get(campaign.name)!;
	const round: {findings?: Finding[]} = {};
	for (const property of campaign.properties) {
		const name = `fuzz ${campaign.name}: ${property.name}`;
		test(name, {todo: knownFailure(name)}, () => {
			round.findings ??= checkCampaign(campaign, {seed, runs, maxShrinks: 0});
			const finding = round.findings.find(
				(item) => item.property === property.name,
			);
			expect(finding?.violations ?? []).toEqual([]);
		});
	}
}
