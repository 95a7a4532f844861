import {Random} from '../base/index.js';
import type {ListedInstance, MembersMessage} from '../interfaces/index.js';
import {
	Membership,
	type MembershipEffect,
	type MembershipInput,
} from '../services/index.js';
import {VirtualClock} from './virtual-clock.js';

/** One-way delay between two processes, in milliseconds; the delay between regions, as the worst case. */
const oneWayDelayMs = 40;
/** Protocol overhead of each message, in bytes. */
const framingBytes = 100;

type Member = {
	machine: Membership;
	/** Counts restarts; messages and timers of an earlier run are dropped. */
	run: number;
	wakeAt: number | undefined;
	pausedUntil: number;
};

/** Simulates processes, each with a membership state machine, in virtual time. */
export class MembershipFleet {
	readonly clock = new VirtualClock();
	readonly names: readonly string[];
	/** Fraction of the messages that is lost, 0 to 1. */
	loss = 0;
	/** Returns whether a partition separates two processes. */
	cut: ((from: number, to: number) => boolean) | undefined;
	/** Called with each fact that a process acts on. */
	onMember:
		| ((
				node: number,
				fact: Extract<MembershipEffect, {type: 'member'}>['fact'],
		  ) => void)
		| undefined;

	/** Bytes sent by all processes. */
	bytes = 0;
	readonly #members: Member[];
	readonly #random: Random;

	constructor(members: number, seed: number) {
		this.#random = new Random(seed);
		this.names = Array.from({length: members}, (_, n) => `m${n}`);
		this.#members = this.names.map((_, index) => ({
			machine: this.#createMachine(index, 0),
			run: 0,
			wakeAt: undefined,
			pausedUntil: 0,
		}));
	}

	machine(index: number): Membership {
		return this.#members[index]!.machine;
	}

	/** Instance list with all processes live, without those at the given indexes. */
	list(absent: readonly number[] = []): ListedInstance[] {
		return this.names
			.map((id) => ({id, address: id, state: 'live' as const}))
			.filter((_, index) => !absent.includes(index));
	}

	/** Delivers the instance list to every process. */
	publish(instances: readonly ListedInstance[]): void {
		for (let index = 0; index < this.names.length; index++) {
			this.handle(index, {type: 'list', instances});
		}
	}

	/** Replaces a process by a new incarnation without state. */
	restart(index: number, incarnation: number): void {
		const member = this.#members[index]!;
		member.run++;
		member.wakeAt = undefined;
		member.machine = this.#createMachine(index, incarnation);
		this.handle(index, {type: 'list', instances: this.list()});
	}

	/** Stops a process until a time; it handles its input then. */
	pause(index: number, until: number): void {
		this.#members[index]!.pausedUntil = until;
	}

	runUntil(time: number): void {
		this.clock.runUntil(time);
	}

	handle(index: number, input: MembershipInput): void {
		const member = this.#members[index]!;
		const {run} = member;
		if (member.pausedUntil > this.clock.now) {
			this.clock.at(member.pausedUntil, () => {
				if (member.run === run) {
					this.handle(index, input);
				}
			});
			return;
		}

		for (const effect of member.machine.handle(input, this.clock.now)) {
			if (effect.type === 'send') {
				this.#send(index, effect.peer, effect.message);
			} else if (effect.type === 'member') {
				this.onMember?.(index, effect.fact);
			}
		}

		const wake = member.machine.nextWake();
		if (wake !== undefined && wake < (member.wakeAt ?? Infinity)) {
			member.wakeAt = wake;
			this.clock.at(wake, () => {
				if (member.run === run && member.wakeAt === wake) {
					member.wakeAt = undefined;
					this.handle(index, {type: 'tick'});
				}
			});
		}
	}

	#createMachine(index: number, incarnation: number): Membership {
		const id = this.names[index]!;
		const random = new Random(Math.floor(this.#random.next() * 2 ** 31));
		return new Membership({id, address: id, incarnation, random});
	}

	#send(from: number, peer: string, message: MembersMessage): void {
		const {facts, buckets} = message;
		this.bytes +=
			framingBytes +
			60 +
			(facts.length === 0 ? 0 : JSON.stringify(facts).length) +
			(buckets ? JSON.stringify(buckets).length : 0);
		const to = Number(peer.slice(1));
		if (this.cut?.(from, to) === true || this.#random.next() < this.loss) {
			return;
		}

		const {run} = this.#members[to]!;
		this.clock.at(this.clock.now + oneWayDelayMs, () => {
			if (this.#members[to]!.run === run) {
				this.handle(to, {type: 'peer', peer: this.names[from]!, message});
			}
		});
	}
}

/** How fast the processes learn that one of them is leaving. */
export type LeaveRow = {
	readonly members: number;
	readonly loss: number;
	/** Processes that had not learned of it within 10 s. */
	readonly missing: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly worstMs: number;
	/** Bytes that a process sends per second, when idle and in the 2 s after the change. */
	readonly restBytesPerSecond: number;
	readonly leaveBytesPerSecond: number;
};

/** Measures how long the processes take to learn from each other, without the table, that one is leaving. */
export function measureLeave(options: {
	readonly members: number;
	readonly seed: number;
	readonly loss: number;
}): LeaveRow {
	const {members, seed, loss} = options;
	const fleet = new MembershipFleet(members, seed);
	fleet.publish(fleet.list());
	fleet.runUntil(5000);
	const warmUpBytes = fleet.bytes;
	fleet.runUntil(10_000);
	const idleBytes = fleet.bytes - warmUpBytes;
	fleet.loss = loss;
	const times: number[] = [];
	fleet.onMember = (node, fact) => {
		if (fact.id === 'm0' && fact.state === 'leaving' && node !== 0) {
			times.push(fleet.clock.now - 10_000);
		}
	};

	const bytesBeforeLeave = fleet.bytes;
	fleet.handle(0, {type: 'leave'});
	fleet.runUntil(12_000);
	const leaveBytes = fleet.bytes - bytesBeforeLeave;
	fleet.runUntil(20_000);
	times.sort((a, b) => a - b);
	const quantile = (part: number) =>
		times[Math.max(0, Math.ceil(part * times.length) - 1)] ?? Number.NaN;
	return {
		members,
		loss,
		missing: members - 1 - times.length,
		p50Ms: quantile(0.5),
		p99Ms: quantile(0.99),
		worstMs: quantile(1),
		restBytesPerSecond: idleBytes / 5 / members,
		leaveBytesPerSecond: leaveBytes / 2 / members,
	};
}
