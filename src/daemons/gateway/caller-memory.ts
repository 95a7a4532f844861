import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Disposable} from '../../base/index.js';
import {
	maxCallerConnections,
	MemoryAccount,
	type InstanceLimits,
	type MemoryHolder,
	type YieldReason,
} from '../../services/gateway/index.js';
import {monotonicNow} from '../state-machine.js';
import type {CallerInput} from './caller-input.js';

/** Interval at which waiting connections look for memory, in milliseconds; only while some wait. */
const pollMs = 50;

/** Bytes read from callers and endpoints between two looks at the memory of the process. */
const lookBytes = 512 * 1024;

/** Memory outside the V8 heap that may be garbage, in bytes. V8 itself starts a collection only at 64 MB of it. */
const maxGarbageBytes = 8_000_000;

/** The same after a collection of new objects only, in bytes; above it all objects are collected, which takes about 20 ms. */
const maxOldGarbageBytes = 24_000_000;

/** Unused space of the V8 heap above which it is shrunk after callers have yielded, in bytes; an idle process has 7 MB. */
const maxSpareHeapBytes = 20_000_000;

/** Time after the last yield at which all objects are collected, in milliseconds. */
const cleanUpMs = 500;

/** Limits of an instance whose settings name none: they keep what earlier versions allowed ordinary callers. */
export const defaultInstanceLimits: InstanceLimits = {
	memoryBytes: 512_000_000,
	maxDescriptors: 10_000,
};

type Collect = (options?: {type: 'minor'}) => void;

function isCollect(value: unknown): value is Collect {
	return typeof value === 'function';
}

/** Function of V8 that collects garbage. It is exposed only to a context of its own. */
function collector(): Collect {
	setFlagsFromString('--expose-gc');
	const collect: unknown = runInNewContext('gc');
	setFlagsFromString('--no-expose-gc');
	return isCollect(collect) ? collect : () => undefined;
}

/** Memory of the connections of callers: gives room to those that wait for it, and makes others yield when there is none. */
export class CallerMemory implements Disposable {
	readonly account: MemoryAccount;
	readonly maxConnections: number;
	readonly #waiting = new Set<CallerInput>();
	#timer: NodeJS.Timeout | undefined;
	#readSinceLook = 0;
	/** Holders have yielded since the last collection of all objects. */
	#hasYielded = false;
	readonly #collect = collector();
	/** Shrinks the V8 heap after callers have yielded: it does not give back its space for new objects until all objects are collected. */
	readonly #cleanUp = setTimeout(() => {
		if (this.#hasYielded) {
			this.#hasYielded = false;
			this.#collect();
		}
	}, cleanUpMs).unref();

	constructor(limits: InstanceLimits) {
		this.account = new MemoryAccount(limits);
		this.maxConnections = maxCallerConnections(limits);
	}

	open(): MemoryHolder {
		return this.account.open(monotonicNow());
	}

	hasRoom(holder: MemoryHolder, bytes: number): boolean {
		return this.account.hasRoom(holder, bytes);
	}

	/** Counts bytes that were read into a new buffer. */
	read(bytes: number): void {
		this.#readSinceLook += bytes;
		if (this.#readSinceLook >= lookBytes) {
			this.#readSinceLook = 0;
			this.#look();
		}
	}

	/** Lets a connection continue when there is room, or no longer. */
	wait(input: CallerInput, isWaiting: boolean): void {
		if (!isWaiting) {
			input.holder.waitsSince = undefined;
			this.#waiting.delete(input);
			return;
		}

		input.holder.waitsSince ??= monotonicNow();
		this.#waiting.add(input);
		this.#timer ??= setInterval(() => {
			this.#serveWaiting();
		}, pollMs);
	}

	dispose(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#cleanUp);
	}

	/** Lets others yield while connections wait, one for each connection that still waits. */
	#serveWaiting(): void {
		for (const input of this.#waiting) {
			input.resume();
		}

		const now = monotonicNow();
		for (let {size} = this.#waiting; size > 0; size--) {
			const next = this.account.nextToYield(now);
			if (!next) {
				break;
			}

			this.#yield(next.holder, next.reason);
		}

		if (this.#waiting.size === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	/** Makes holders yield until the account is no longer overdrawn, also such that make progress. */
	shed(): void {
		while (this.account.isFull) {
			const next = this.account.nextToYield(monotonicNow(), true);
			if (!next) {
				break;
			}

			this.#yield(next.holder, next.reason);
		}
	}

	#yield(holder: MemoryHolder, reason: YieldReason): void {
		// What it held becomes garbage, most of it old.
		this.#readSinceLook = lookBytes;
		this.#hasYielded = true;
		this.#cleanUp.refresh();
		holder.canYield = false;
		holder.onYield(reason);
	}

	/** Compares what the process occupies with its limit. */
	#look(): void {
		const {rss, arrayBuffers, heapTotal, heapUsed} = process.memoryUsage();
		if (this.#hasYielded && heapTotal - heapUsed > maxSpareHeapBytes) {
			this.#hasYielded = false;
			this.#collect();
		}

		this.#collectGarbage(arrayBuffers - this.#buffered);
		this.account.observeResident(rss);
		this.shed();
	}

	/** Collects garbage when many bytes outside the V8 heap are not held for callers: garbage, and a few MB of other connections. */
	#collectGarbage(garbage: number): void {
		if (garbage <= maxGarbageBytes) {
			return;
		}

		this.#collect({type: 'minor'});
		const limit = this.#hasYielded ? maxGarbageBytes : maxOldGarbageBytes;
		if (process.memoryUsage().arrayBuffers - this.#buffered > limit) {
			this.#hasYielded = false;
			this.#collect();
		}
	}

	/** Bytes in buffers that are held for callers. */
	get #buffered(): number {
		const {account} = this;
		return (
			account.held('bodies') +
			account.held('answers') +
			account.held('unparsed')
		);
	}
}
