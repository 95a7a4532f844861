import {test} from 'node:test';
import {expect} from 'earl';
import {prefillRate} from './prefill-estimate.js';
import {ServiceDemand, type DemandSample} from './service-demand.js';

const chat: DemandSample = {
	tier: 0,
	routeTier: 0,
	objectiveMs: 300,
	timeoutMs: 12_000,
	outputTokens: 300,
};
const draft: DemandSample = {
	tier: 2,
	routeTier: 2,
	objectiveMs: 2500,
	timeoutMs: 15_000,
	outputTokens: 400,
};

// Guards against a limit on the prefill backlog that suits one site only: it must follow from the requests that the engines serve.
test('the tightest objective among requests that are at least as urgent counts', () => {
	const demand = new ServiceDemand();
	expect(demand.tightestObjectiveMs(2, 0)).toEqual(undefined);
	demand.recordRequest(draft, 0);
	expect(demand.tightestObjectiveMs(2, 0)).toEqual(2500);
	demand.recordRequest(chat, 0);
	expect(demand.tightestObjectiveMs(2, 0)).toEqual(300);
	expect(demand.tightestObjectiveMs(0, 0)).toEqual(300);
});

// Guards against a whole service that is slowed down by a single unusual request, or by requests of long ago.
test('rare and old requests do not count', () => {
	const demand = new ServiceDemand();
	demand.recordRequest({...chat, objectiveMs: 1}, 0);
	for (let count = 0; count < 100; count++) {
		demand.recordRequest(draft, 0);
	}

	expect(demand.tightestObjectiveMs(2, 0)).toEqual(2500);
	demand.recordRequest(chat, 60_000);
	expect(demand.tightestObjectiveMs(2, 60_000)).toEqual(300);
});

// Guards against engines that prefill all the time while their answers run into the timeout.
test('engines get prompts more slowly if answers have little time per token', () => {
	const demand = new ServiceDemand();
	expect(demand.tokenMs(0)).toEqual(undefined);
	demand.recordRequest(draft, 0);
	demand.recordRequest(chat, 0);
	expect(demand.tokenMs(0)).toEqual((0.35 * 12_500) / 400);
	expect(prefillRate(16, 7)).toBeLessThan(prefillRate(30, 7));
	expect(prefillRate(1, 7)).toEqual(20);
	expect(prefillRate(undefined, 7)).toEqual(40);
});

// Guards against short notes that are refused after 500 ms while long drafts of the same tier, which can wait for seconds, take all capacity.
test('a request that can wait ranks behind others of its tier and before the next tier', () => {
	const demand = new ServiceDemand();
	const note = {
		tier: 1,
		routeTier: 1,
		objectiveMs: 500,
		timeoutMs: 3000,
		outputTokens: 24,
	};
	const slow = {...draft, tier: 1, routeTier: 1};
	expect(demand.rank(slow, 0)).toEqual(1);
	demand.recordRequest(note, 0);
	demand.recordRequest(slow, 0);
	expect(demand.rank(note, 0)).toEqual(1);
	expect(demand.rank(slow, 0)).toEqual(1.5);
	expect(demand.rank({...slow, tier: 0}, 0)).toEqual(0);
	expect(demand.lowestRank(0)).toEqual(1.5);
});

// Guards against urgent requests that get nothing while less urgent ones of the same workspaces are placed.
test('within a tier requests rank by the tier of their routes', () => {
	const demand = new ServiceDemand();
	const samples = [0, 1, 2].map((routeTier) => ({...chat, tier: 1, routeTier}));
	for (const sample of samples) {
		demand.recordRequest(sample, 0);
	}

	const ranks = samples.map((sample) => demand.rank(sample, 0));
	expect(ranks).toEqual(ranks.toSorted((a, b) => a - b));
	expect(new Set(ranks).size).toEqual(3);
	expect(ranks[0]).toEqual(1);
	expect(ranks[2]! < 2).toEqual(true);
	expect(demand.lowestRank(0)).toEqual(ranks[2]!);
});

// Guards against an urgent route with a loose target that ranks behind a less urgent one with a tight target.
test('a loose target does not put a request behind a less urgent route', () => {
	const demand = new ServiceDemand();
	const slow = {...draft, tier: 1, routeTier: 0};
	const tight = {...chat, tier: 1, routeTier: 1};
	demand.recordRequest(slow, 0);
	demand.recordRequest(tight, 0);
	expect(demand.rank(slow, 0) < demand.rank(tight, 0)).toEqual(true);
});
