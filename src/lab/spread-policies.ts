import {gossipPolicy, jitter, type SpreadPolicy} from '../services/index.js';

/** Creates the policy of the process at an index of the fleet. */
export type PolicyFactory = (
	index: number,
	names: readonly string[],
) => SpreadPolicy;

/** Poll interval when every process polls, in milliseconds. */
const pollIntervalMs = 5000;
/** Number of processes that poll and forward changes, and their poll interval in milliseconds; together 20 reads/s. */
const pollerCount = 8;
const pollerIntervalMs = 400;
const treeFanout = 4;

function everyonePolls(): SpreadPolicy {
	return {
		pushBodies: true,
		digestEveryMs: undefined,
		pollDelayMs: (_fleet, random) => jitter(pollIntervalMs, random),
		targets: () => [],
	};
}

/** Each polling process forwards changes to the processes assigned to it. */
function fewProcessesPoll(
	index: number,
	names: readonly string[],
): SpreadPolicy {
	const assigned = names.filter(
		(_, n) => n >= pollerCount && n % pollerCount === index,
	);
	return {
		pushBodies: true,
		digestEveryMs: undefined,
		pollDelayMs: (_fleet, random) =>
			index < pollerCount ? jitter(pollerIntervalMs, random) : undefined,
		targets: (_peers, _random, origin) =>
			origin === names[index] ? assigned : [],
	};
}

/** Forwards changes down a tree whose root is the process that read the change from the table. */
function clusterTree(index: number, names: readonly string[]): SpreadPolicy {
	return {
		...gossipPolicy(),
		targets(_peers, _random, origin) {
			const root = Number(origin.slice(1));
			const position = (index - root + names.length) % names.length;
			const children: string[] = [];
			for (let child = 1; child <= treeFanout; child++) {
				const childPosition = treeFanout * position + child;
				if (childPosition < names.length) {
					children.push(names[(childPosition + root) % names.length]!);
				}
			}

			return children;
		},
	};
}

/** Policies that the benchmark compares, by strategy name. */
export const spreadPolicies = {
	'everyone polls': everyonePolls,
	'a few poll and pass on': fewProcessesPoll,
	'push bodies': () => gossipPolicy(),
	'push digests': () => gossipPolicy({pushBodies: false}),
	'cluster tree': clusterTree,
} as const satisfies Record<string, PolicyFactory>;
