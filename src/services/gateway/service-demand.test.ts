import {test} from 'node:test';
import {expect} from 'earl';
import {prefillRate} from './prefill-estimate.js';
import {ServiceDemand, type DemandSample} from './service-demand.js';

const chat: DemandSample = {
	tier: 0,
	rank: 0,
	objectiveMs: 300,
	timeoutMs: 12_000,
	outputTokens: 300,
};
const draft: DemandSample = {
	tier: 2,
	rank: 2,
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

// Guards against urgent prompts that get no more of the pace of an engine than the least urgent ones.
test('the lowest rank is that of the least urgent requests', () => {
	const demand = new ServiceDemand();
	expect(demand.lowestRank(0)).toEqual(0);
	demand.recordRequest(draft, 0);
	demand.recordRequest(chat, 0);
	expect(demand.lowestRank(0)).toEqual(2);
	demand.recordRequest(chat, 60_000);
	expect(demand.lowestRank(60_000)).toEqual(0);
});
