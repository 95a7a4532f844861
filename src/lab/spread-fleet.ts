import {Random} from '../base/index.js';
import {
	headKey,
	headSchema,
	recordKey,
	type Row,
	type SpreadMessage,
	type TableAnswer,
	type TableCall,
} from '../interfaces/index.js';
import {MemoryTable} from '../interfaces/standins/index.js';
import {
	keysToRead,
	planWrite,
	readStored,
	Spread,
	termKey,
	type Edit,
	type SpreadEffect,
	type SpreadInput,
	type SpreadPolicy,
} from '../services/index.js';
import {VirtualClock} from './virtual-clock.js';

/** Bytes of framing for each message: WebSocket, TCP/IP and JSON-RPC around the body. */
const framingBytes = 100;
/** One-way delay between two processes in one region, and between regions, in milliseconds. */
const nearMs = 1;
const farMs = 40;
/** Regions over which the processes are spread. */
const regions = 3;
/** Time that the table takes for one operation, in milliseconds. */
const tableMs = 5;

const bodySizes = new WeakMap<object, number>();

function bodySize(value: object): number {
	const size = bodySizes.get(value) ?? JSON.stringify(value).length;
	bodySizes.set(value, size);
	return size;
}

/** Size of a message on the wire, in bytes. */
export function messageBytes(message: SpreadMessage): number {
	return message.type === 'push' && message.entries.length > 0
		? framingBytes + 60 + bodySize(message.entries)
		: framingBytes + bodySize(message);
}

/** A spread state machine, or a variant of it in a test. */
export type SpreadMachine = Pick<Spread, 'handle' | 'nextWake' | 'revision'>;

type Process = {
	readonly name: string;
	readonly index: number;
	/** Counts restarts; messages and timers of an earlier run are dropped. */
	run: number;
	machine: SpreadMachine;
	/** Earliest scheduled tick. */
	wakeAt: number | undefined;
	readyAt: number | undefined;
	pausedUntil: number;
};

export type FleetOptions = {
	readonly members: number;
	readonly seed: number;
	readonly policy?: (index: number, names: readonly string[]) => SpreadPolicy;
	/** Part of the messages between processes that is lost, 0 to 1. */
	readonly loss?: number;
	/** Makes the machine of a process; for variants in tests. */
	readonly machine?: (id: string, random: Random) => SpreadMachine;
	/** Told of each effect that changes what is in force. */
	readonly onForce?: (
		process: number,
		effect: Extract<SpreadEffect, {type: 'apply' | 'reset'}>,
	) => void;
};

/** Processes with a spread state machine each, a table and a network between them, in virtual time. */
export class SpreadFleet {
	readonly table = new MemoryTable();
	readonly clock = new VirtualClock();
	/** Table reads in each second of virtual time. */
	readonly reads: number[] = [];
	tableDown = false;
	/** Part of the reads that are answered from the state before the last write, 0 to 1. */
	staleReads = 0;
	loss: number;
	/** Decides whether two processes, or a process and the table (undefined), are cut off from each other. */
	cut: ((from: number, to: number | undefined) => boolean) | undefined;
	readonly #options: FleetOptions;
	readonly #names: readonly string[];
	readonly #indexes: ReadonlyMap<string, number>;
	readonly #processes: Process[];
	readonly #random: Random;
	#messages = 0;
	/** Bytes sent by each process. */
	readonly #bytes: number[];
	#writes = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.loss = options.loss ?? 0;
		this.#random = new Random(options.seed);
		this.#names = Array.from({length: options.members}, (_, n) => `p${n}`);
		this.#bytes = this.#names.map(() => 0);
		this.#indexes = new Map(this.#names.map((name, index) => [name, index]));
		this.#processes = this.#names.map((name, index) => ({
			name,
			index,
			run: 0,
			machine: this.#machine(index),
			wakeAt: undefined,
			readyAt: undefined,
			pausedUntil: 0,
		}));
	}

	get now(): number {
		return this.clock.now;
	}

	/** Starts a process with empty memory, ending its earlier run. */
	start(index: number): void {
		const process = this.#processes[index]!;
		process.run++;
		process.machine = this.#machine(index);
		process.wakeAt = undefined;
		process.readyAt = undefined;
		this.#handle(process, {type: 'peers', peers: this.#names});
	}

	/** Handles nothing until a time; what arrives meanwhile is handled then. */
	pause(index: number, until: number): void {
		this.#processes[index]!.pausedUntil = until;
	}

	startAll(): void {
		for (const process of this.#processes) {
			this.start(process.index);
		}
	}

	/** Revision in force in a process; undefined before it takes part. */
	revision(index: number): number | undefined {
		return this.#processes[index]!.machine.revision;
	}

	/** Time at which a process began to take part in its present run. */
	readyAt(index: number): number | undefined {
		return this.#processes[index]!.readyAt;
	}

	/** Commits an operator's write at once and returns its revision. */
	accept(name: string, padding = 400): number {
		const operator = 'operator';
		const edit: Edit = {
			kind: 'class',
			name,
			record: {
				schema: 1,
				kind: 'class',
				name,
				tier: this.#writes % 10,
				firstTokenMs: 660,
				gapMs: 32,
				note: 'x'.repeat(padding),
			},
		};
		const term: Edit = {
			kind: 'term',
			name: operator,
			record: {schema: 1, kind: 'term', name: operator, startsAtRevision: 1},
		};
		const isFirst = this.table.readNow(termKey(operator)) === undefined;
		const edits = isFirst ? [term, edit] : [edit];
		const rows = new Map(
			keysToRead(operator, edits).map((key) => [key, this.table.readNow(key)]),
		);
		const expected = new Map(edits.map((each) => [recordKey(each), 0]));
		const stored = readStored(rows.get(recordKey(edit)));
		expected.set(recordKey(edit), stored?.meta?.revision ?? 0);
		const id = `write-${++this.#writes}`;
		const plan = planWrite({id, operator, edits}, rows, expected);
		if (plan.type === 'end') {
			throw new Error(`write ${id} ended with ${plan.result.type}`);
		}

		this.table.commitNow(plan.transaction);
		return plan.revision;
	}

	/** Messages and bytes sent since the last reset, in all and by the busiest process. */
	counters(): {messages: number; bytes: number; worstBytes: number} {
		let bytes = 0;
		let worstBytes = 0;
		for (const sent of this.#bytes) {
			bytes += sent;
			worstBytes = Math.max(worstBytes, sent);
		}

		return {messages: this.#messages, bytes, worstBytes};
	}

	resetCounters(): void {
		this.#messages = 0;
		this.#bytes.fill(0);
	}

	/** Revision of the table's head. */
	head(): number {
		const row = this.table.readNow(headKey);
		return row ? headSchema.parse(JSON.parse(row.value)).revision : 0;
	}

	runUntil(time: number): void {
		this.clock.runUntil(time);
	}

	#machine(index: number): SpreadMachine {
		const id = this.#names[index]!;
		const random = new Random(Math.floor(this.#random.next() * 2 ** 31));
		return (
			this.#options.machine?.(id, random) ??
			new Spread({
				id,
				random,
				policy: this.#options.policy?.(index, this.#names),
			})
		);
	}

	#handle(process: Process, input: SpreadInput): void {
		const {run} = process;
		if (process.pausedUntil > this.now) {
			this.clock.at(process.pausedUntil, () => {
				if (process.run === run) {
					this.#handle(process, input);
				}
			});
			return;
		}

		const effects = process.machine.handle(input, this.now);
		for (const effect of effects) {
			this.#carryOut(process, effect);
		}

		this.#scheduleWake(process);
	}

	#scheduleWake(process: Process): void {
		const wake = process.machine.nextWake();
		if (wake === undefined || wake >= (process.wakeAt ?? Infinity)) {
			return;
		}

		const {run} = process;
		process.wakeAt = wake;
		this.clock.at(wake, () => {
			if (process.run === run && process.wakeAt === wake) {
				process.wakeAt = undefined;
				this.#handle(process, {type: 'tick'});
			}
		});
	}

	#carryOut(process: Process, effect: SpreadEffect): void {
		switch (effect.type) {
			case 'send': {
				this.#send(process, effect.peer, effect.message);
				break;
			}

			case 'table': {
				this.#callTable(process, effect.id, effect.call);
				break;
			}

			case 'apply':
			case 'reset': {
				process.readyAt ??= this.now;
				this.#options.onForce?.(process.index, effect);
				break;
			}

			case 'count':
			case 'timing':
			case 'log': {
				break;
			}
		}
	}

	#send(from: Process, peer: string, message: SpreadMessage): void {
		this.#messages++;
		this.#bytes[from.index]! += messageBytes(message);
		const to = this.#processes[this.#indexes.get(peer)!]!;
		const lost = this.loss > 0 && this.#random.next() < this.loss;
		if (lost || this.cut?.(from.index, to.index) === true) {
			return;
		}

		const near = from.index % regions === to.index % regions;
		const delay = (near ? nearMs : farMs) * (0.8 + 0.4 * this.#random.next());
		const {run} = to;
		this.clock.at(this.now + delay, () => {
			if (to.run === run) {
				this.#handle(to, {type: 'peer', peer: from.name, message});
			}
		});
	}

	#callTable(process: Process, id: string, call: TableCall): void {
		const second = Math.floor(this.now / 1000);
		this.reads[second] = (this.reads[second] ?? 0) + 1;
		const answer: TableAnswer =
			this.tableDown || this.cut?.(process.index, undefined) === true
				? {type: 'unavailable'}
				: this.#read(call);
		const {run} = process;
		this.clock.at(this.now + tableMs, () => {
			if (process.run === run) {
				this.#handle(process, {type: 'table', id, answer});
			}
		});
	}

	#read(call: TableCall): TableAnswer {
		const answer = this.table.callNow(call);
		return answer.type === 'row'
			? {type: 'row', row: this.#stale(answer.row)}
			: answer;
	}

	/** A head of the past, as a lagging replica of the table returns it. */
	#stale(row: Row | undefined): Row | undefined {
		if (
			!row ||
			this.staleReads === 0 ||
			this.#random.next() >= this.staleReads
		) {
			return row;
		}

		const {revision} = headSchema.parse(JSON.parse(row.value));
		return {
			...row,
			value: JSON.stringify({revision: Math.max(0, revision - 3)}),
		};
	}
}
