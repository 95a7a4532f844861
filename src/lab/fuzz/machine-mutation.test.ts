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
import type {MachineMutation} from './machines.js';
import {wrapMachine} from './wrap-machine.js';
import type {Plan} from './plan.js';
import {Simulation} from './simulation.js';

type EntryMachine = Machine<EntryMessage, EntryEffect>;
type SidecarMachine = Machine<SidecarMessage, SidecarEffect>;

const seed = 1;

/** Whether in one of `runs` plans the faulty machine causes more violations of a property than the original machine. */
function isDetected(
	campaignName: string,
	propertyName: string,
	mutation: MachineMutation,
	runs: number,
): boolean {
	const campaign = campaigns.find(({name}) => name === campaignName)!;
	const property = campaign.properties.find(({name}) => name === propertyName)!;
	const count = (plan: Plan, applied?: MachineMutation): number =>
		property.violations(new Simulation(plan, applied).run()).length;
	const result = fc.check(
		fc.property(campaign.plans, (plan) => {
			const violations = count(plan, mutation);
			return violations === 0 || violations <= count(plan);
		}),
		{seed, numRuns: runs, endOnFailure: true},
	);
	return result.failed;
}

function mutateEntryEffects(
	effects: (effect: EntryEffect) => EntryEffect[],
): MachineMutation {
	return {entry: (machine) => wrapMachine(machine, {effects})};
}

function mutateSidecarEffects(
	effects: (effect: SidecarEffect) => SidecarEffect[],
): MachineMutation {
	return {sidecar: (machine) => wrapMachine(machine, {effects})};
}

function mutateSidecarMessages(
	messages: (message: SidecarMessage) => SidecarMessage[],
): MachineMutation {
	return {sidecar: (machine) => wrapMachine(machine, {messages})};
}

// Guards against an oracle that misses a lost chunk.
test('fuzz catches an entry that drops a chunk', () => {
	const mutation = mutateEntryEffects((effect) =>
		effect.type === 'chunk' && effect.sequence === 5 ? [] : [effect],
	);
	expect(isDetected('faulty', 'whole answer', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses a repeated chunk.
test('fuzz catches an entry that repeats a chunk', () => {
	const mutation = mutateEntryEffects((effect) =>
		effect.type === 'chunk' && effect.sequence === 5
			? [effect, effect]
			: [effect],
	);
	expect(isDetected('faulty', 'whole answer', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses an answer that starts again after a crash.
test('fuzz catches a sidecar that ignores the resume point', () => {
	const mutation = mutateSidecarEffects((effect) =>
		effect.type === 'run' ? [{...effect, resume: undefined}] : [effect],
	);
	expect(isDetected('faulty', 'whole answer', mutation, 200)).toEqual(true);
});

// Guards against an oracle that misses an answer delivered to another caller.
test('fuzz catches an entry that mixes up two callers', () => {
	const mutation: MachineMutation = {
		entry(machine) {
			let last: string | undefined;
			return wrapMachine(machine, {
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
	expect(isDetected('faulty', 'whole answer', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses the execution of a request that was reported as not run.
test('fuzz catches an entry that reports not_run at each timeout', () => {
	const mutation = mutateEntryEffects((effect) =>
		effect.type === 'end' && effect.failure?.code === 'timeout'
			? [{...effect, outcome: 'not_run'}]
			: [effect],
	);
	expect(isDetected('faulty', 'not run', mutation, 300)).toEqual(true);
});

// Guards against an oracle that misses a cancellation that was confirmed but not carried out.
test('fuzz catches a sidecar that confirms a cancellation and runs the attempt', () => {
	const mutation: MachineMutation = {
		sidecar: (machine) => withFalseCancelConfirmations(machine),
	};
	expect(isDetected('faulty', 'not run', mutation, 300)).toEqual(true);
});

function withFalseCancelConfirmations(machine: SidecarMachine): SidecarMachine {
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

// Guards against an oracle that misses a second execution that starts without a claim in the table.
test('fuzz catches a sidecar that starts a run without its claim', () => {
	const mutation: MachineMutation = {
		sidecar: (machine) => withoutClaims(machine),
	};
	expect(isDetected('faulty', 'at most once', mutation, 100)).toEqual(true);
});

/** Answers every commit as committed, without a call to the table. */
function withoutClaims(machine: SidecarMachine): SidecarMachine {
	const answerCommits = (
		effect: SidecarEffect,
		now: number,
	): SidecarEffect[] =>
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
					.flatMap((next) => answerCommits(next, now))
			: [effect];
	return {
		handle: (message, now) =>
			machine
				.handle(message, now)
				.flatMap((effect) => answerCommits(effect, now)),
		nextWake: () => machine.nextWake(),
		dump: () => machine.dump(),
	};
}

// Guards against an oracle that misses a second execution after a commit of unknown effect was treated as granted.
test('fuzz catches a sidecar that treats an uncertain claim as granted', () => {
	const mutation = mutateSidecarMessages((message) =>
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
	expect(isDetected('keyed', 'at most once', mutation, 300)).toEqual(true);
});

// Guards against an oracle that misses work started long after the endpoint was asked to leave.
test('fuzz catches a sidecar that begins to leave late', () => {
	const mutation: MachineMutation = {
		sidecar(machine) {
			let leaveAt: number | undefined;
			return wrapMachine(machine, {
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
	expect(isDetected('faulty', 'leaving starts nothing', mutation, 100)).toEqual(
		true,
	);
});

// Guards against an oracle that misses work cut off by a planned stop.
test('fuzz catches a sidecar that stops before its work is done', () => {
	const mutation: MachineMutation = {
		sidecar: (machine) =>
			withImmediateDrain<SidecarMessage, SidecarEffect>(machine),
	};
	expect(isDetected('calm', 'planned stop', mutation, 100)).toEqual(true);
});

// Guards against an oracle that misses callers cut off by a planned stop.
test('fuzz catches an entry that stops before its callers are served', () => {
	const mutation: MachineMutation = {
		entry: (machine: EntryMachine) =>
			withImmediateDrain<EntryMessage, EntryEffect>(machine),
	};
	expect(isDetected('calm', 'planned stop', mutation, 100)).toEqual(true);
	expect(isDetected('calm', 'undisturbed', mutation, 100)).toEqual(true);
});

function withImmediateDrain<
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
test('fuzz catches an entry that does not report a timeout', () => {
	const mutation = mutateEntryEffects((effect) =>
		effect.type === 'end' && effect.failure?.code === 'timeout' ? [] : [effect],
	);
	expect(isDetected('faulty', 'final answer', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses a second final answer.
test('fuzz catches an entry that ends a request twice', () => {
	const mutation = mutateEntryEffects((effect) =>
		effect.type === 'end' && effect.failure ? [effect, effect] : [effect],
	);
	expect(isDetected('faulty', 'final answer', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses a timeout that is reported late.
test('fuzz catches an entry that applies timeouts that are too long', () => {
	const mutation: MachineMutation = {
		entry: (machine) =>
			wrapMachine(machine, {
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
	expect(isDetected('faulty', 'final answer', mutation, 100)).toEqual(true);
});

// Guards against an oracle that misses an entry that does not recover from a fault.
test('fuzz catches an entry that never uses a link again', () => {
	const mutation: MachineMutation = {
		entry(machine) {
			const lost = new Set<string>();
			return wrapMachine(machine, {
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
	expect(isDetected('faulty', 'recovery', mutation, 100)).toEqual(true);
});

// Guards against an oracle that misses state that stays in memory.
test('fuzz catches a sidecar whose timers never run', () => {
	const mutation: MachineMutation = {
		sidecar: (machine) =>
			wrapMachine(machine, {
				messages: (message) =>
					message.type === 'load' || message.type === 'tick' ? [] : [message],
				nextWake: () => undefined,
			}),
	};
	expect(isDetected('calm', 'drained', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses a machine that keeps requesting a wake time that has passed.
test('fuzz catches a machine that requests the same wake time for ever', () => {
	const mutation: MachineMutation = {
		entry: (machine) => wrapMachine(machine, {nextWake: () => 0}),
	};
	expect(isDetected('calm', 'drained', mutation, 50)).toEqual(true);
});

/** Changes the contract of each offer and start that reaches a sidecar. */
function mutateContract(
	change: (
		contract: Extract<
			Extract<SidecarMessage, {type: 'peer'}>['message'],
			{type: 'start'}
		>['profile']['contract'],
	) => typeof contract,
): MachineMutation {
	return mutateSidecarMessages((message) => {
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
test('fuzz catches a sidecar that ignores tiers', () => {
	const mutation = mutateContract((contract) => ({...contract, tier: 0}));
	expect(isDetected('backlog', 'tier order', mutation, 50)).toEqual(true);
});

// Guards against an oracle that misses an execution that is cut off in favour of another request.
test('fuzz catches a sidecar that preempts running work', () => {
	const mutation: MachineMutation = {
		sidecar: (machine) => withPreemption(machine),
	};
	expect(isDetected('backlog', 'undisturbed', mutation, 50)).toEqual(true);
});

/** Stops the latest run of the higher tier when a lower one is started. */
function withPreemption(machine: SidecarMachine): SidecarMachine {
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
test('fuzz catches a sidecar that ignores tiers when it sheds', () => {
	const mutation = mutateContract((contract) => ({...contract, tier: 0}));
	expect(isDetected('flood', 'tier order', mutation, 1)).toEqual(true);
});

// Guards against an oracle that misses a class that a higher one starves.
test('fuzz catches a sidecar that ignores guaranteed shares', () => {
	const mutation = mutateContract((contract) => ({...contract, share: 0}));
	expect(isDetected('burst', 'starvation', mutation, 5)).toEqual(true);
});
