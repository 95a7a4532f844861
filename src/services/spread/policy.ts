import type {Random} from '../../base/index.js';

/** How a process discovers changes and forwards them to peers. */
export type SpreadPolicy = {
	/** Whether pushes carry the changes; otherwise they carry only the revision, and the receiver pulls. */
	readonly pushBodies: boolean;
	/** Time between digests, in milliseconds; undefined to send none. */
	readonly digestEveryMs: number | undefined;
	/** Time to the next poll of the table's head, in milliseconds; undefined for a process that does not poll. */
	pollDelayMs(fleetSize: number, random: Random): number | undefined;
	/** Peers to which newly applied changes are forwarded; `origin` is the process that read them from the table. */
	targets(
		peers: readonly string[],
		random: Random,
		origin: string,
	): readonly string[];
};

/** Reads of the head by the whole fleet per second: 1% of what the table can serve. */
const fleetReadsPerSecond = 20;

/** Picks up to `count` distinct random items; cheaper than a shuffle when the list is long. */
export function pickDistinct(
	items: readonly string[],
	count: number,
	random: Random,
): readonly string[] {
	if (items.length <= count) {
		return items;
	}

	const chosen = new Set<string>();
	while (chosen.size < count) {
		chosen.add(items[random.integer(items.length)]!);
	}

	return [...chosen];
}

/** Returns a random delay, in milliseconds, between 0.5 and 1.5 times the mean. */
export function jitter(meanMs: number, random: Random): number {
	return meanMs * (0.5 + random.next());
}

/** Gossip with anti-entropy (Demers et al. 1987): pushes changes to `fanout` random peers, and sends a digest to one peer a second. */
export function gossipPolicy(
	options: {readonly fanout?: number; readonly pushBodies?: boolean} = {},
): SpreadPolicy {
	const {fanout = 4, pushBodies = true} = options;
	return {
		pollDelayMs: (fleetSize, random) =>
			jitter((fleetSize / fleetReadsPerSecond) * 1000, random),
		targets: (peers, random) => pickDistinct(peers, fanout, random),
		pushBodies,
		digestEveryMs: 1000,
	};
}
