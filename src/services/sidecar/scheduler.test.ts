import {test} from 'node:test';
import {expect} from 'earl';
import {Random} from '../../base/index.js';
import type {Contract, Profile} from '../../interfaces/index.js';
import {Scheduler} from './scheduler.js';
import type {Ticket} from './ticket.js';

const tight: Contract = {
	workspace: 'a',
	requestClass: 'tight',
	tier: 0,
	firstTokenMs: 1000,
	gapMs: 32,
	share: 0,
	weight: 1,
	patience: 1,
};

const loose: Contract = {
	...tight,
	requestClass: 'loose',
	tier: 1,
	firstTokenMs: 30_000,
};

function profile(contract: Contract): Profile {
	return {contract, target: 'm', kind: 'model', promptTokens: 100, prefix: []};
}

let count = 0;
function ticket(contract: Contract, now = 0): Ticket {
	return {
		attempt: `${contract.requestClass}-${contract.workspace}-${count++}`,
		profile: profile(contract),
		arrivedAt: now,
		deadline: now + 600_000,
		resumedTokens: 0,
	};
}

function fixedScheduler(places: number): Scheduler {
	return new Scheduler(new Random(1), {
		adaptiveLimit: false,
		pacing: false,
		fixedLimit: places,
	});
}

/** Scheduler with all slots occupied, so that later work is queued. */
function filledScheduler(places: number): {
	scheduler: Scheduler;
	running: string[];
} {
	const scheduler = fixedScheduler(places);
	const running: string[] = [];
	for (let index = 0; index < places; index++) {
		scheduler.enqueue(ticket(loose), 0);
		running.push(scheduler.takeNext(0)!.attempt);
	}

	return {scheduler, running};
}

/** Classes and workspaces of the tickets that start as each slot is freed in turn. */
function startOrder(
	scheduler: Scheduler,
	running: readonly string[],
): string[] {
	return running.map((attempt) => {
		scheduler.finish(attempt, false, 100);
		const {contract} = scheduler.takeNext(100)!.profile;
		return `${contract.requestClass}/${contract.workspace}`;
	});
}

// Guards against a lower tier that is served before a higher one.
test('higher tier goes first', () => {
	const {scheduler, running} = filledScheduler(2);
	scheduler.enqueue(ticket(loose), 0);
	scheduler.enqueue(ticket({...tight, firstTokenMs: 60_000}), 1);
	expect(startOrder(scheduler, running)).toEqual(['tight/a', 'loose/a']);
});

// Guards against starvation of a class with a guarantee by a higher tier.
test('class below its guaranteed share goes before a higher tier', () => {
	const {scheduler, running} = filledScheduler(4);
	const relaxed = {...tight, firstTokenMs: 60_000};
	const guaranteed = {...loose, requestClass: 'letters', share: 0.25};
	for (let index = 0; index < 4; index++) {
		scheduler.enqueue(ticket(relaxed), 0);
		scheduler.enqueue(ticket(guaranteed), 0);
	}

	const served = startOrder(scheduler, running);
	expect(served.includes('letters/a')).toEqual(true);
	expect(served.includes('tight/a')).toEqual(true);
});

// Guards against one workspace that crowds out another of the same class.
test('workspaces of a class share by weight', () => {
	const {scheduler, running} = filledScheduler(8);
	for (let index = 0; index < 20; index++) {
		scheduler.enqueue(ticket({...loose, workspace: 'big'}), 0);
	}

	for (let index = 0; index < 4; index++) {
		scheduler.enqueue(ticket({...loose, workspace: 'small'}), 1);
	}

	const served = startOrder(scheduler, running);
	expect(served.filter((name) => name === 'loose/small')).toHaveLength(4);
});

// Guards against work that is queued although its target cannot be met.
test('work that cannot meet its target is refused on arrival', () => {
	const {scheduler} = filledScheduler(1);
	scheduler.enqueue(ticket(loose), 0);
	const reply = scheduler.offer(profile(tight), 0);
	expect(reply.type).toEqual('refuse');
	expect(scheduler.enqueue(ticket(tight), 0)).toHaveLength(1);
});

// Guards against callers that wait although their target can no longer be met.
test('queued work is shed once its target can no longer be met', () => {
	const {scheduler} = filledScheduler(1);
	const queued = ticket({...loose, firstTokenMs: 20_000});
	expect(scheduler.enqueue(queued, 0)).toEqual([]);
	const wake = scheduler.nextWake()!;
	expect(wake < 20_000).toEqual(true);
	expect(scheduler.expire(wake).map((shed) => shed.ticket)).toEqual([queued]);
	expect(scheduler.nextWake()).toEqual(undefined);
});

// Guards against work that stays queued although a burst of a higher tier made its target unreachable.
test('work displaced by a higher tier is shed before its target has passed', () => {
	const {scheduler} = filledScheduler(1);
	const queued = ticket({...loose, firstTokenMs: 20_000});
	scheduler.enqueue(queued, 0);
	for (let index = 0; index < 5; index++) {
		scheduler.enqueue(ticket({...tight, firstTokenMs: 120_000}), 1);
	}

	const shed = scheduler.expire(100);
	expect(shed.map((item) => item.ticket)).toEqual([queued]);
});

// Guards against a full queue that sheds a higher tier, or refuses one.
test('full queue sheds the lowest tier', () => {
	const scheduler = new Scheduler(new Random(1), {
		adaptiveLimit: false,
		fixedLimit: 1,
		admission: false,
	});
	for (let index = 0; index < 1024; index++) {
		scheduler.enqueue(ticket(loose), 0);
	}

	const [other] = scheduler.enqueue(ticket(loose), 0);
	expect(other?.refusal.reason).toEqual('overloaded');
	const [shed] = scheduler.enqueue(ticket(tight), 0);
	expect(shed?.ticket.profile.contract.tier).toEqual(1);
});

// Guards against more running work than the KV cache holds.
test('work waits until its KV cache fits', () => {
	const scheduler = fixedScheduler(8);
	const report = {running: 0, waiting: 0, kvTokens: 0, kvCapacity: 800};
	scheduler.onLoadReport(report, 0);
	scheduler.enqueue(ticket(loose), 0);
	scheduler.enqueue(ticket(loose), 0);
	scheduler.enqueue(ticket(loose), 0);
	const first = scheduler.takeNext(0)!;
	expect(scheduler.takeNext(0)).not.toEqual(undefined);
	expect(scheduler.takeNext(0)).toEqual(undefined);
	scheduler.finish(first.attempt, true, 1);
	expect(scheduler.takeNext(1)).not.toEqual(undefined);
});

// Guards against a thundering herd: many entries that choose the same idle endpoint at once.
test('offers that have not started lengthen the next offer', () => {
	const scheduler = fixedScheduler(2);
	const replies = Array.from({length: 12}, () =>
		scheduler.offer(profile(loose), 0),
	);
	const times = replies.map((reply) =>
		reply.type === 'accept' ? reply.firstTokenMs : Infinity,
	);
	expect(times.at(-1)! > times[0]!).toEqual(true);
	const later = scheduler.offer(profile(loose), 1000);
	expect(later).toEqual(replies[0]!);
});

// Guards against several long prefills at once, which lengthen the gaps of running answers.
test('long prompts of classes that can wait start one after another', () => {
	const scheduler = new Scheduler(new Random(1), {
		adaptiveLimit: false,
		fixedLimit: 4,
	});
	scheduler.enqueue(ticket(loose), 0);
	scheduler.enqueue(ticket(loose), 0);
	expect(scheduler.takeNext(0)).not.toEqual(undefined);
	expect(scheduler.takeNext(0)).toEqual(undefined);
	const wake = scheduler.nextWake()!;
	expect(wake < 1000).toEqual(true);
	expect(scheduler.takeNext(wake)).not.toEqual(undefined);
});

// Guards against a class with a tight target that has to wait until a long answer ends.
test('slots stay free for a class that cannot wait', () => {
	const scheduler = fixedScheduler(8);
	for (let index = 0; index < 30; index++) {
		scheduler.offer(profile(tight), index);
	}

	for (let index = 0; index < 8; index++) {
		scheduler.enqueue(ticket(loose), 30);
	}

	let started = 0;
	while (scheduler.takeNext(30)) {
		started++;
	}

	expect(started > 0 && started < 8).toEqual(true);
	scheduler.enqueue(ticket(tight), 31);
	expect(scheduler.takeNext(31)?.profile.contract.tier).toEqual(0);
});
