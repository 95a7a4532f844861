import {gossipPolicy, jitter, type SpreadPolicy} from '../services/index.js';

/** Makes the policy of the process at an index of the fleet. */
export type PolicyOf = (
	index: number,
	names: readonly string[],
) => SpreadPolicy;

/** Interval at which everyone polls, in milliseconds. */
const pollEveryMs = 5000;
/** Processes that poll and pass on, and their interval, in milliseconds; together they make 20 reads/s. */
const pollers = 8;
const pollersEveryMs = 400;
const treeFanout = 4;

function everyonePolls(): SpreadPolicy {
	return {
		pushBodies: true,
		digestEveryMs: undefined,
		pollDelayMs: (_fleet, random) => jitter(pollEveryMs, random),
		targets: () => [],
	};
}

/** Each poller passes changes on to the processes assigned to it. */
function fewPoll(index: number, names: readonly string[]): SpreadPolicy {
	const assigned = names.filter(
		(_, n) => n >= pollers && n % pollers === index,
	);
	return {
		pushBodies: true,
		digestEveryMs: undefined,
		pollDelayMs: (_fleet, random) =>
			index < pollers ? jitter(pollersEveryMs, random) : undefined,
		targets: (_peers, _random, origin) =>
			origin === names[index] ? assigned : [],
	};
}

/** Children of a process in the tree whose root is the process that read the change from the table. */
function clusterTree(index: number, names: readonly string[]): SpreadPolicy {
	return {
		...gossipPolicy(),
		targets(_peers, _random, origin) {
			const root = Number(origin.slice(1));
			const position = (index - root + names.length) % names.length;
			const children: string[] = [];
			for (let child = 1; child <= treeFanout; child++) {
				const place = treeFanout * position + child;
				if (place < names.length) {
					children.push(names[(place + root) % names.length]!);
				}
			}

			return children;
		},
	};
}

/** Ways to spread a change that the benchmark compares. */
export const spreadPolicies = {
	'everyone polls': everyonePolls,
	'a few poll and pass on': fewPoll,
	'push bodies': () => gossipPolicy(),
	'push digests': () => gossipPolicy({pushBodies: false}),
	'cluster tree': clusterTree,
} as const satisfies Record<string, PolicyOf>;
