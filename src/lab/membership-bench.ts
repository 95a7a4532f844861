import {Random} from '../base/index.js';
import type {ListedInstance, MembersMessage} from '../interfaces/index.js';
import {
	Membership,
	type MembershipEffect,
	type MembershipInput,
} from '../services/index.js';
import {VirtualClock} from './virtual-clock.js';

/** One-way delay between two processes, in milliseconds; that between regions, as the worst case. */
const delayMs = 40;
const framingBytes = 100;

type Node = {
	machine: Membership;
	run: number;
	wakeAt: number | undefined;
	pausedUntil: number;
};

/** Processes with a membership state machine each, in virtual time. */
export class MembershipFleet {
	readonly clock = new VirtualClock();
	readonly names: readonly string[];
	/** Part of the messages that is lost, 0 to 1. */
	loss = 0;
	/** Decides whether two processes are cut off from each other. */
	cut: ((from: number, to: number) => boolean) | undefined;
	/** Told of each fact that a process acts on. */
	onMember:
		| ((
				node: number,
				fact: Extract<MembershipEffect, {type: 'member'}>['fact'],
		  ) => void)
		| undefined;

	bytes = 0;
	readonly #nodes: Node[];
	readonly #random: Random;

	constructor(members: number, seed: number) {
		this.#random = new Random(seed);
		this.names = Array.from({length: members}, (_, n) => `m${n}`);
		this.#nodes = this.names.map((_, index) => ({
			machine: this.#machine(index, 0),
			run: 0,
			wakeAt: undefined,
			pausedUntil: 0,
		}));
	}

	machine(index: number): Membership {
		return this.#nodes[index]!.machine;
	}

	/** Instance list in which everybody is live but the named ones. */
	list(absent: readonly number[] = []): ListedInstance[] {
		return this.names
			.map((id) => ({id, address: id, state: 'live' as const}))
			.filter((_, index) => !absent.includes(index));
	}

	/** Hands the instance list to everybody. */
	publish(instances: readonly ListedInstance[]): void {
		for (let index = 0; index < this.names.length; index++) {
			this.handle(index, {type: 'list', instances});
		}
	}

	/** Replaces a process by a new run with empty memory. */
	restart(index: number, incarnation: number): void {
		const node = this.#nodes[index]!;
		node.run++;
		node.wakeAt = undefined;
		node.machine = this.#machine(index, incarnation);
		this.handle(index, {type: 'list', instances: this.list()});
	}

	pause(index: number, until: number): void {
		this.#nodes[index]!.pausedUntil = until;
	}

	runUntil(time: number): void {
		this.clock.runUntil(time);
	}

	handle(index: number, input: MembershipInput): void {
		const node = this.#nodes[index]!;
		const {run} = node;
		if (node.pausedUntil > this.clock.now) {
			this.clock.at(node.pausedUntil, () => {
				if (node.run === run) {
					this.handle(index, input);
				}
			});
			return;
		}

		for (const effect of node.machine.handle(input, this.clock.now)) {
			if (effect.type === 'send') {
				this.#send(index, effect.peer, effect.message);
			} else if (effect.type === 'member') {
				this.onMember?.(index, effect.fact);
			}
		}

		const wake = node.machine.nextWake();
		if (wake !== undefined && wake < (node.wakeAt ?? Infinity)) {
			node.wakeAt = wake;
			this.clock.at(wake, () => {
				if (node.run === run && node.wakeAt === wake) {
					node.wakeAt = undefined;
					this.handle(index, {type: 'tick'});
				}
			});
		}
	}

	#machine(index: number, incarnation: number): Membership {
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

		const {run} = this.#nodes[to]!;
		this.clock.at(this.clock.now + delayMs, () => {
			if (this.#nodes[to]!.run === run) {
				this.handle(to, {type: 'peer', peer: this.names[from]!, message});
			}
		});
	}
}

/** Result of one leaving process. */
export type LeaveRow = {
	readonly members: number;
	readonly loss: number;
	/** Processes that did not learn of it within 10 s. */
	readonly missing: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly worstMs: number;
	/** Bytes that a process sends per second, without a change and in the 2 s after it. */
	readonly restBytesPerSecond: number;
	readonly leaveBytesPerSecond: number;
};

/** Measures, without the table, how long all processes take to learn that one is leaving. */
export function measureLeave(options: {
	readonly members: number;
	readonly seed: number;
	readonly loss: number;
}): LeaveRow {
	const {members, seed, loss} = options;
	const fleet = new MembershipFleet(members, seed);
	fleet.publish(fleet.list());
	fleet.runUntil(5000);
	const startBytes = fleet.bytes;
	fleet.runUntil(10_000);
	const restBytes = fleet.bytes - startBytes;
	fleet.loss = loss;
	const times: number[] = [];
	fleet.onMember = (node, fact) => {
		if (fact.id === 'm0' && fact.state === 'leaving' && node !== 0) {
			times.push(fleet.clock.now - 10_000);
		}
	};

	const before = fleet.bytes;
	fleet.handle(0, {type: 'leave'});
	fleet.runUntil(12_000);
	const leaveBytes = fleet.bytes - before;
	fleet.runUntil(20_000);
	times.sort((a, b) => a - b);
	const at = (part: number) =>
		times[Math.max(0, Math.ceil(part * times.length) - 1)] ?? Number.NaN;
	return {
		members,
		loss,
		missing: members - 1 - times.length,
		p50Ms: at(0.5),
		p99Ms: at(0.99),
		worstMs: at(1),
		restBytesPerSecond: restBytes / 5 / members,
		leaveBytesPerSecond: leaveBytes / 2 / members,
	};
}
