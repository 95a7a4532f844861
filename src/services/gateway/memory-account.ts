/** What memory is held for: bodies that arrive, answers that are not read yet, bytes that have been read but not parsed, and requests with their heads. */
export type MemoryUse = 'bodies' | 'answers' | 'unparsed' | 'requests';

export const memoryUses: readonly MemoryUse[] = [
	'bodies',
	'answers',
	'unparsed',
	'requests',
];

/** Why a holder yields: its caller has stopped in the middle, or the process has no room left for one that goes on. */
export type YieldReason = 'stalled' | 'no room';

/** Memory that a process needs before it holds anything for callers, in bytes: 75 MB when idle, 15 MB of garbage between two collections, and 35 MB that the allocator does not reuse once buffers of many sizes have come and gone. */
const ownBytes = 125_000_000;

/** Part of the memory that callers get where little more than `ownBytes` is left. */
const minSharePart = 0.2;

/** Part of the total that is kept for holders with little memory, so that ordinary requests need not wait for large ones. */
const reservedPart = 0.25;

/** Memory up to which a holder may use the reserved part, in bytes: a usual request with its body, and one read from a socket. */
const smallHolderBytes = 256 * 1024;

/** Charge for an open connection, in bytes: its socket, parser and buffers take about 12 KiB. */
export const connectionBytes = 16 * 1024;

/** Charge for a request beside its head and body, in bytes: its objects in the V8 heap take about 20 KiB. */
export const requestBytes = 32 * 1024;

/** Time without progress after which a holder is taken for stalled, in milliseconds. */
const stallMs = 500;

/** Time for which a holder may wait for memory until it yields, in milliseconds. */
const maxWaitMs = 1000;

/** Part of the total that open connections may take by themselves: half of what the largest shortage leaves. */
const connectionPart = 1 / 6;

/** Parts of the instance's memory that the process may occupy until the account gives out less, and the part of the total that it then gives out. The account may be wrong; this bounds the error. */
const shortages = [
	{residentPart: 0.88, totalPart: 1 / 3},
	{residentPart: 0.78, totalPart: 1 / 2},
] as const;

/** Descriptors that are reserved for files. */
const fileDescriptors = 200;

/** Part of the other descriptors that callers may use; the rest is for endpoints, the store and the other listeners. */
const callerDescriptorPart = 0.6;

/** Resources of an instance, as its settings name them. */
export type InstanceLimits = {
	readonly memoryBytes: number;
	readonly maxDescriptors: number;
};

/** Bytes that may be held for callers. */
export function memoryForCallers({memoryBytes}: InstanceLimits): number {
	return Math.max(memoryBytes - ownBytes, memoryBytes * minSharePart);
}

/** Number of connections that callers may keep open. */
export function maxCallerConnections(limits: InstanceLimits): number {
	const descriptors =
		(limits.maxDescriptors - fileDescriptors) * callerDescriptorPart;
	const affordable =
		(memoryForCallers(limits) * connectionPart) / connectionBytes;
	return Math.max(1, Math.floor(Math.min(descriptors, affordable)));
}

/** Memory held for one connection of a caller. */
export class MemoryHolder {
	/** Called when the holder must release its memory; it does so on the way to its end. */
	onYield: (reason: YieldReason) => void = () => undefined;
	/** Whether `onYield` ends something: a body that is arriving, or an answer that is not read. */
	canYield = false;
	/** Time since which the holder waits for memory; undefined when its caller sets the pace. Milliseconds of the monotonic clock. */
	waitsSince: number | undefined;
	/** Time of the last byte that was stored or read by the caller, in milliseconds of the monotonic clock. */
	progressAt: number;
	/** Time at which the holder began to hold memory that can be yielded, in milliseconds of the monotonic clock. */
	heldSince: number;
	readonly #account: MemoryAccount;
	readonly #held: Record<MemoryUse, number> = {
		bodies: 0,
		answers: 0,
		unparsed: 0,
		requests: 0,
	};

	#bytes = connectionBytes;
	#isDisposed = false;

	constructor(account: MemoryAccount, now: number) {
		this.#account = account;
		this.progressAt = now;
		this.heldSince = now;
	}

	get bytes(): number {
		return this.#bytes;
	}

	/** Charges memory that is allocated; negative to release it. */
	add(use: MemoryUse, bytes: number): void {
		if (this.#isDisposed) {
			return;
		}

		this.#held[use] += bytes;
		this.#bytes += bytes;
		this.#account.change(use, bytes);
	}

	/** Sets the memory held for a use. */
	set(use: MemoryUse, bytes: number): void {
		this.add(use, bytes - this.#held[use]);
	}

	held(use: MemoryUse): number {
		return this.#held[use];
	}

	/** Marks the beginning of something that can be yielded. */
	begin(now: number): void {
		this.progressAt = now;
		this.heldSince = now;
	}

	/** Releases everything; later charges have no effect. */
	dispose(): void {
		for (const use of memoryUses) {
			this.set(use, 0);
		}

		this.#isDisposed = true;
		this.#account.remove(this);
	}
}

/**
 * Account of the memory that a process holds for its callers. A bound rather
 * than a statistic: charges are rounded up, and are made for what is allocated,
 * before more is read.
 */
export class MemoryAccount {
	readonly #limits: InstanceLimits;
	#totalBytes: number;
	readonly #holders = new Set<MemoryHolder>();
	readonly #held: Record<MemoryUse, number> = {
		bodies: 0,
		answers: 0,
		unparsed: 0,
		requests: 0,
	};

	#bytes = 0;

	constructor(limits: InstanceLimits) {
		this.#limits = limits;
		this.#totalBytes = memoryForCallers(limits);
	}

	/** Bytes that may be held at present. */
	get totalBytes(): number {
		return this.#totalBytes;
	}

	/** Adjusts the total to the memory that the process occupies, in bytes. */
	observeResident(bytes: number): void {
		const residentPart = bytes / this.#limits.memoryBytes;
		const shortage = shortages.find((item) => residentPart > item.residentPart);
		this.#totalBytes =
			memoryForCallers(this.#limits) * (shortage?.totalPart ?? 1);
	}

	get bytes(): number {
		return this.#bytes;
	}

	held(use: MemoryUse): number {
		return this.#held[use];
	}

	/** Opens a holder for a new connection. */
	open(now: number): MemoryHolder {
		const holder = new MemoryHolder(this, now);
		this.#holders.add(holder);
		this.#bytes += connectionBytes;
		return holder;
	}

	/** Whether a holder may allocate so much more; a small one may also use what is reserved. */
	hasRoom(holder: MemoryHolder, bytes: number): boolean {
		const isSmall = holder.bytes + bytes <= smallHolderBytes;
		const part = isSmall ? 1 : 1 - reservedPart;
		return this.#bytes + bytes <= this.#totalBytes * part;
	}

	/** Whether the account is used up, the reserved part included. */
	get isFull(): boolean {
		return this.#bytes > this.#totalBytes;
	}

	/**
	 * Chooses who yields so that others get memory: of those that are stalled, or
	 * have waited for memory for too long, the one that has held most for longest.
	 * Undefined when all of them make progress, unless it is forced.
	 */
	nextToYield(
		now: number,
		isForced = false,
	): {readonly holder: MemoryHolder; readonly reason: YieldReason} | undefined {
		let chosen: MemoryHolder | undefined;
		let most = -1;
		for (const holder of this.#holders) {
			const weight = holder.bytes * (now - holder.heldSince);
			if (
				holder.canYield &&
				weight > most &&
				(isForced || isStalled(holder, now))
			) {
				most = weight;
				chosen = holder;
			}
		}

		return (
			chosen && {
				holder: chosen,
				reason:
					chosen.waitsSince === undefined && isStalled(chosen, now)
						? 'stalled'
						: 'no room',
			}
		);
	}

	/** Called by a holder whose memory has changed. */
	change(use: MemoryUse, bytes: number): void {
		this.#held[use] += bytes;
		this.#bytes += bytes;
	}

	/** Called by a holder that has released everything. */
	remove(holder: MemoryHolder): void {
		if (this.#holders.delete(holder)) {
			this.#bytes -= connectionBytes;
		}
	}
}

function isStalled(
	{waitsSince, progressAt}: MemoryHolder,
	now: number,
): boolean {
	return waitsSince === undefined
		? now - progressAt >= stallMs
		: now - waitsSince >= maxWaitMs;
}
