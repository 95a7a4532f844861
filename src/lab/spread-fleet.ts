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
	parseRecordRow,
	Spread,
	termKey,
	type Edit,
	type SpreadEffect,
	type SpreadInput,
	type SpreadPolicy,
} from '../services/index.js';
import {VirtualClock} from './virtual-clock.js';

/** Protocol overhead of each message in bytes: WebSocket, TCP/IP and JSON-RPC around the body. */
const framingBytes = 100;
/** One-way delay between two processes in one region, and in two regions, in milliseconds. */
const sameRegionMs = 1;
const crossRegionMs = 40;
/** Number of regions; the processes are assigned to them in turn. */
const regionCount = 3;
/** Latency of a table operation, in milliseconds. */
const tableLatencyMs = 5;

/** Sizes of bodies in bytes, cached because the same entries go to many processes. */
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

/** The spread state machine, or a variant of it in a test. */
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

export type SpreadFleetOptions = {
	readonly members: number;
	readonly seed: number;
	readonly policy?: (index: number, names: readonly string[]) => SpreadPolicy;
	/** Fraction of the messages between processes that is lost, 0 to 1. */
	readonly loss?: number;
	/** Creates the state machine of a process; for variants in tests. */
	readonly machine?: (id: string, random: Random) => SpreadMachine;
	/** Called with each effect that changes the records in force in a process. */
	readonly onDidChangeRecords?: (
		process: number,
		effect: Extract<SpreadEffect, {type: 'apply' | 'reset'}>,
	) => void;
};

/** Simulates processes, each with a spread state machine, with their table and network in virtual time. */
export class SpreadFleet {
	readonly table = new MemoryTable();
	readonly clock = new VirtualClock();
	/** Table reads in each second of virtual time. */
	readonly reads: number[] = [];
	isTableDown = false;
	/** Fraction of the reads of the head that return a revision three behind, 0 to 1. */
	staleReadFraction = 0;
	loss: number;
	/** Returns whether a partition separates two processes, or a process and the table (undefined). */
	cut: ((from: number, to: number | undefined) => boolean) | undefined;
	readonly #options: SpreadFleetOptions;
	readonly #names: readonly string[];
	readonly #indexes: ReadonlyMap<string, number>;
	readonly #processes: Process[];
	readonly #random: Random;
	#messagesSent = 0;
	/** Bytes sent by each process. */
	readonly #bytesSent: number[];
	#writeCount = 0;

	constructor(options: SpreadFleetOptions) {
		this.#options = options;
		this.loss = options.loss ?? 0;
		this.#random = new Random(options.seed);
		this.#names = Array.from({length: options.members}, (_, n) => `p${n}`);
		this.#bytesSent = this.#names.map(() => 0);
		this.#indexes = new Map(this.#names.map((name, index) => [name, index]));
		this.#processes = this.#names.map((name, index) => ({
			name,
			index,
			run: 0,
			machine: this.#createMachine(index),
			wakeAt: undefined,
			readyAt: undefined,
			pausedUntil: 0,
		}));
	}

	get now(): number {
		return this.clock.now;
	}

	/** Starts a process without state, ending its earlier run. */
	start(index: number): void {
		const process = this.#processes[index]!;
		process.run++;
		process.machine = this.#createMachine(index);
		process.wakeAt = undefined;
		process.readyAt = undefined;
		this.#handle(process, {type: 'peers', peers: this.#names});
	}

	/** Stops a process until a time; it handles its input then. */
	pause(index: number, until: number): void {
		this.#processes[index]!.pausedUntil = until;
	}

	startAll(): void {
		for (const process of this.#processes) {
			this.start(process.index);
		}
	}

	/** Revision in force in a process; undefined until it has loaded the records. */
	revision(index: number): number | undefined {
		return this.#processes[index]!.machine.revision;
	}

	/** Time at which a process had loaded the records in its current run. */
	readyAt(index: number): number | undefined {
		return this.#processes[index]!.readyAt;
	}

	/** Commits a write of a record immediately and returns its revision; `padding` is in characters. */
	accept(name: string, padding = 400): number {
		const operator = 'operator';
		const edit: Edit = {
			kind: 'class',
			name,
			record: {
				schema: 1,
				kind: 'class',
				name,
				tier: this.#writeCount % 10,
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
		const isFirst = this.table.readSync(termKey(operator)) === undefined;
		const edits = isFirst ? [term, edit] : [edit];
		const rows = new Map(
			keysToRead(operator, edits).map((key) => [key, this.table.readSync(key)]),
		);
		const expected = new Map(edits.map((each) => [recordKey(each), 0]));
		const stored = parseRecordRow(rows.get(recordKey(edit)));
		expected.set(recordKey(edit), stored?.meta?.revision ?? 0);
		const id = `write-${++this.#writeCount}`;
		const plan = planWrite({id, operator, edits}, rows, expected);
		if (plan.type === 'end') {
			throw new Error(`write ${id} ended with ${plan.result.type}`);
		}

		this.table.commitSync(plan.transaction);
		return plan.revision;
	}

	/** Messages and bytes sent since the last reset in all, and bytes sent by the busiest process. */
	counters(): {messages: number; bytes: number; worstBytes: number} {
		let bytes = 0;
		let worstBytes = 0;
		for (const sent of this.#bytesSent) {
			bytes += sent;
			worstBytes = Math.max(worstBytes, sent);
		}

		return {messages: this.#messagesSent, bytes, worstBytes};
	}

	resetCounters(): void {
		this.#messagesSent = 0;
		this.#bytesSent.fill(0);
	}

	/** Revision of the table's head. */
	head(): number {
		const row = this.table.readSync(headKey);
		return row ? headSchema.parse(JSON.parse(row.value)).revision : 0;
	}

	runUntil(time: number): void {
		this.clock.runUntil(time);
	}

	#createMachine(index: number): SpreadMachine {
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
			this.#applyEffect(process, effect);
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

	#applyEffect(process: Process, effect: SpreadEffect): void {
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
				this.#options.onDidChangeRecords?.(process.index, effect);
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
		this.#messagesSent++;
		this.#bytesSent[from.index]! += messageBytes(message);
		const to = this.#processes[this.#indexes.get(peer)!]!;
		const isLost = this.loss > 0 && this.#random.next() < this.loss;
		if (isLost || this.cut?.(from.index, to.index) === true) {
			return;
		}

		const isSameRegion = from.index % regionCount === to.index % regionCount;
		const delay =
			(isSameRegion ? sameRegionMs : crossRegionMs) *
			(0.8 + 0.4 * this.#random.next());
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
			this.isTableDown || this.cut?.(process.index, undefined) === true
				? {type: 'unavailable'}
				: this.#read(call);
		const {run} = process;
		this.clock.at(this.now + tableLatencyMs, () => {
			if (process.run === run) {
				this.#handle(process, {type: 'table', id, answer});
			}
		});
	}

	#read(call: TableCall): TableAnswer {
		const answer = this.table.callSync(call);
		return answer.type === 'row'
			? {type: 'row', row: this.#outdate(answer.row)}
			: answer;
	}

	/** Returns an older head for a fraction of the reads, like a lagging replica of the table. */
	#outdate(row: Row | undefined): Row | undefined {
		if (
			!row ||
			this.staleReadFraction === 0 ||
			this.#random.next() >= this.staleReadFraction
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
