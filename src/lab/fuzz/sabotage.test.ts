import {test} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {
	EntryEffect,
	EntryMessage,
	SidecarEffect,
	SidecarMessage,
} from '../../services/index.js';
import {campaigns} from './fuzzer.js';
import type {Machine} from './host.js';
import type {Sabotage} from './machines.js';
import {rewrite} from './sabotage.js';
import type {Plan} from './plan.js';
import {World} from './world.js';

type EntryMachine = Machine<EntryMessage, EntryEffect>;
type SidecarMachine = Machine<SidecarMessage, SidecarEffect>;

const seed = 1;

/** Whether, within a number of runs, one with a faulty machine violates a property more often than the same run with the true machines. */
function isCaught(
	campaignName: string,
	propertyName: string,
	sabotage: Sabotage,
	runs: number,
): boolean {
	const campaign = campaigns.find(({name}) => name === campaignName)!;
	const property = campaign.properties.find(({name}) => name === propertyName)!;
	const count = (plan: Plan, machines?: Sabotage): number =>
		property.violations(new World(plan, machines).run()).length;
	const result = fc.check(
		fc.property(campaign.plans, (plan) => {
			const violations = count(plan, sabotage);
			return violations === 0 || violations <= count(plan);
		}),
		{seed, numRuns: runs, endOnFailure: true},
	);
	return result.failed;
}

function entryEffects(
	effects: (effect: EntryEffect) => EntryEffect[],
): Sabotage {
	return {entry: (machine) => rewrite(machine, {effects})};
}

function sidecarEffects(
	effects: (effect: SidecarEffect) => SidecarEffect[],
): Sabotage {
	return {sidecar: (machine) => rewrite(machine, {effects})};
}

function sidecarMessages(
	messages: (message: SidecarMessage) => SidecarMessage[],
): Sabotage {
	return {sidecar: (machine) => rewrite(machine, {messages})};
}

// Guards against an oracle that misses a lost chunk.
test('fuzz catches an entry that drops a chunk', () => {
	const sabotage = entryEffects((effect) =>
		effect.type === 'chunk' && effect.sequence === 5 ? [] : [effect],
	);
	expect(isCaught('faulty', 'whole answer', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses a repeated chunk.
test('fuzz catches an entry that repeats a chunk', () => {
	const sabotage = entryEffects((effect) =>
		effect.type === 'chunk' && effect.sequence === 5
			? [effect, effect]
			: [effect],
	);
	expect(isCaught('faulty', 'whole answer', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses an answer that begins again after a crash.
test('fuzz catches a sidecar that forgets the resume point', () => {
	const sabotage = sidecarEffects((effect) =>
		effect.type === 'run' ? [{...effect, resume: undefined}] : [effect],
	);
	expect(isCaught('faulty', 'whole answer', sabotage, 200)).toEqual(true);
});

// Guards against an oracle that misses an answer delivered to another caller.
test('fuzz catches an entry that mixes up two callers', () => {
	const sabotage: Sabotage = {
		entry(machine) {
			let last: string | undefined;
			return rewrite(machine, {
				effects(effect) {
					if (effect.type !== 'chunk') {
						return [effect];
					}

					const requestId = last ?? effect.requestId;
					last = effect.requestId;
					return [{...effect, requestId}];
				},
			});
		},
	};
	expect(isCaught('faulty', 'whole answer', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses a request that ran after its caller was told otherwise.
test('fuzz catches an entry that tells not_run at each timeout', () => {
	const sabotage = entryEffects((effect) =>
		effect.type === 'end' && effect.failure?.code === 'timeout'
			? [{...effect, outcome: 'not_run'}]
			: [effect],
	);
	expect(isCaught('faulty', 'not run', sabotage, 300)).toEqual(true);
});

// Guards against an oracle that misses a cancellation that was confirmed but not carried out.
test('fuzz catches a sidecar that confirms a cancellation and runs the attempt', () => {
	const sabotage: Sabotage = {
		sidecar: (machine) => confirmingCancels(machine),
	};
	expect(isCaught('faulty', 'not run', sabotage, 300)).toEqual(true);
});

function confirmingCancels(machine: SidecarMachine): SidecarMachine {
	return {
		handle(message, now) {
			if (message.type !== 'peer' || message.message.type !== 'cancel') {
				return machine.handle(message, now);
			}

			const {attempt} = message.message;
			return [
				{
					type: 'send',
					link: message.link,
					message: {
						type: 'update',
						update: {
							type: 'refused',
							attempt,
							refusal: {reason: 'cancelled', retryAfterMs: 0},
						},
					},
				},
			];
		},
		nextWake: () => machine.nextWake(),
		dump: () => machine.dump(),
	};
}

// Guards against an oracle that misses a second execution when the table does not decide.
test('fuzz catches a sidecar that runs without its claim', () => {
	const sabotage: Sabotage = {sidecar: (machine) => claimless(machine)};
	expect(isCaught('faulty', 'at most once', sabotage, 100)).toEqual(true);
});

/** Treats every commit as committed without asking the table. */
function claimless(machine: SidecarMachine): SidecarMachine {
	const settle = (effect: SidecarEffect, now: number): SidecarEffect[] =>
		effect.type === 'table' && effect.call.type === 'commit'
			? machine
					.handle(
						{
							type: 'table',
							id: effect.id,
							answer: {
								type: 'decision',
								decision: {type: 'committed', revision: 1},
							},
						},
						now,
					)
					.flatMap((next) => settle(next, now))
			: [effect];
	return {
		handle: (message, now) =>
			machine.handle(message, now).flatMap((effect) => settle(effect, now)),
		nextWake: () => machine.nextWake(),
		dump: () => machine.dump(),
	};
}

// Guards against an oracle that misses a claim whose effect is unknown and is taken for granted.
test('fuzz catches a sidecar that takes an uncertain claim for a granted one', () => {
	const sabotage = sidecarMessages((message) =>
		message.type === 'table' && message.answer.type === 'uncertain'
			? [
					{
						...message,
						answer: {
							type: 'decision',
							decision: {type: 'committed', revision: 1_000_000},
						},
					},
				]
			: [message],
	);
	expect(isCaught('keyed', 'at most once', sabotage, 300)).toEqual(true);
});

// Guards against an oracle that misses work started long after the endpoint was told to leave.
test('fuzz catches a sidecar that leaves late', () => {
	const sabotage: Sabotage = {
		sidecar(machine) {
			let leaveAt: number | undefined;
			return rewrite(machine, {
				messages(message, now) {
					if (message.type === 'leave') {
						leaveAt = now + 5000;
						return [];
					}

					if (leaveAt === undefined || now < leaveAt) {
						return [message];
					}

					leaveAt = undefined;
					return [{type: 'leave'}, message];
				},
			});
		},
	};
	expect(isCaught('faulty', 'leaving starts nothing', sabotage, 100)).toEqual(
		true,
	);
});

// Guards against an oracle that misses work cut off by a planned stop.
test('fuzz catches a sidecar that stops before its work is done', () => {
	const sabotage: Sabotage = {
		sidecar: (machine) =>
			drainingAtOnce<SidecarMessage, SidecarEffect>(machine),
	};
	expect(isCaught('calm', 'planned stop', sabotage, 100)).toEqual(true);
});

// Guards against an oracle that misses callers cut off by a planned stop.
test('fuzz catches an entry that stops before its callers are served', () => {
	const sabotage: Sabotage = {
		entry: (machine: EntryMachine) =>
			drainingAtOnce<EntryMessage, EntryEffect>(machine),
	};
	expect(isCaught('calm', 'planned stop', sabotage, 100)).toEqual(true);
	expect(isCaught('calm', 'undisturbed', sabotage, 100)).toEqual(true);
});

function drainingAtOnce<
	Message extends {readonly type: string},
	Effect extends {readonly type: string},
>(
	machine: Machine<Message, Effect | {type: 'drained'}>,
): Machine<Message, Effect | {type: 'drained'}> {
	return {
		handle: (message, now) =>
			message.type === 'leave'
				? [...machine.handle(message, now), {type: 'drained'}]
				: machine.handle(message, now),
		nextWake: () => machine.nextWake(),
		dump: () => machine.dump(),
	};
}

// Guards against an oracle that misses a caller without a final answer.
test('fuzz catches an entry that keeps silent about a timeout', () => {
	const sabotage = entryEffects((effect) =>
		effect.type === 'end' && effect.failure?.code === 'timeout' ? [] : [effect],
	);
	expect(isCaught('faulty', 'final answer', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses a second final answer.
test('fuzz catches an entry that ends a request twice', () => {
	const sabotage = entryEffects((effect) =>
		effect.type === 'end' && effect.failure ? [effect, effect] : [effect],
	);
	expect(isCaught('faulty', 'final answer', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses a timeout that is told late.
test('fuzz catches an entry that counts its timeouts too long', () => {
	const sabotage: Sabotage = {
		entry: (machine) =>
			rewrite(machine, {
				messages: (message) =>
					message.type === 'request'
						? [
								{
									...message,
									request: {
										...message.request,
										timeoutMs: message.request.timeoutMs + 3000,
									},
								},
							]
						: [message],
			}),
	};
	expect(isCaught('faulty', 'final answer', sabotage, 100)).toEqual(true);
});

// Guards against an oracle that misses an entry that does not recover from a fault.
test('fuzz catches an entry that never uses a link again', () => {
	const sabotage: Sabotage = {
		entry(machine) {
			const lost = new Set<string>();
			return rewrite(machine, {
				messages(message) {
					if (message.type === 'linkLost') {
						lost.add(message.endpoint);
					}

					return message.type === 'linkUp' && lost.has(message.endpoint)
						? []
						: [message];
				},
			});
		},
	};
	expect(isCaught('faulty', 'recovery', sabotage, 100)).toEqual(true);
});

// Guards against an oracle that misses what stays in memory.
test('fuzz catches a sidecar that never forgets', () => {
	const sabotage: Sabotage = {
		sidecar: (machine) =>
			rewrite(machine, {
				messages: (message) =>
					message.type === 'load' || message.type === 'tick' ? [] : [message],
				nextWake: () => undefined,
			}),
	};
	expect(isCaught('calm', 'drained', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses a timer that has passed for good.
test('fuzz catches a machine that asks for the same wake for ever', () => {
	const sabotage: Sabotage = {
		entry: (machine) => rewrite(machine, {nextWake: () => 0}),
	};
	expect(isCaught('calm', 'drained', sabotage, 50)).toEqual(true);
});

/** Changes the contract of each offer and start that reaches a sidecar. */
function contractOf(
	change: (
		contract: Extract<
			Extract<SidecarMessage, {type: 'peer'}>['message'],
			{type: 'start'}
		>['profile']['contract'],
	) => typeof contract,
): Sabotage {
	return sidecarMessages((message) => {
		if (message.type !== 'peer') {
			return [message];
		}

		const inner = message.message;
		if (inner.type !== 'offer' && inner.type !== 'start') {
			return [message];
		}

		const {profile} = inner;
		const contract = change(profile.contract);
		return [{...message, message: {...inner, profile: {...profile, contract}}}];
	});
}

// Guards against an oracle that misses a lower tier served before a higher one.
test('fuzz catches a sidecar that knows no tiers', () => {
	const sabotage = contractOf((contract) => ({...contract, tier: 0}));
	expect(isCaught('backlog', 'tier order', sabotage, 50)).toEqual(true);
});

// Guards against an oracle that misses an execution cut off for another request's sake.
test('fuzz catches a sidecar that preempts running work', () => {
	const sabotage: Sabotage = {
		sidecar: (machine) => preempting(machine),
	};
	expect(isCaught('backlog', 'undisturbed', sabotage, 50)).toEqual(true);
});

/** Stops the latest run of the higher tier when a lower one is started. */
function preempting(machine: SidecarMachine): SidecarMachine {
	const high: string[] = [];
	return {
		handle: (message, now) =>
			machine.handle(message, now).flatMap((effect) => {
				if (effect.type !== 'run') {
					return [effect];
				}

				if (effect.priority === 0) {
					high.push(effect.attempt);
					return [effect];
				}

				const victim = high.pop();
				return victim === undefined
					? [effect]
					: [
							effect,
							{type: 'stopRun', attempt: victim},
							...machine.handle(
								{
									type: 'endpoint',
									attempt: victim,
									event: {type: 'error', sent: true, reason: 'preempted'},
								},
								now,
							),
						];
			}),
		nextWake: () => machine.nextWake(),
		dump: () => machine.dump(),
	};
}

// Guards against an oracle that misses a higher tier that is shed while a lower one stays queued.
test('fuzz catches a sidecar that sheds without regard to tiers', () => {
	const sabotage = contractOf((contract) => ({...contract, tier: 0}));
	expect(isCaught('flood', 'tier order', sabotage, 1)).toEqual(true);
});

// Guards against an oracle that misses a class that a higher one starves.
test('fuzz catches a sidecar that ignores guaranteed shares', () => {
	const sabotage = contractOf((contract) => ({...contract, share: 0}));
	expect(isCaught('burst', 'starvation', sabotage, 5)).toEqual(true);
});
