import * as z from 'zod';

/** Fraction of its objective above which a wait at the gateway counts as the cause of a late answer. */
const waitCauseFraction = 0.5;

/** Log line that a gateway writes at the end of a request; lines of other events do not match. */
export const endedLine = z.object({
	event: z.literal('ended'),
	route: z.string(),
	outcome: z.string(),
	reason: z.string(),
	sends: z.number(),
	/** Time until it was first assigned to an endpoint, in milliseconds. */
	waited_ms: z.number(),
	objective_ms: z.number(),
	gap_target_ms: z.union([z.number(), z.literal('')]),
	total_ms: z.number(),
	first_byte_ms: z.number(),
	longest_pause_ms: z.number(),
});

export type EndedLine = z.infer<typeof endedLine>;

/** How a request ended for its caller, with the cause when it was lost or late. */
export type LossCause =
	| 'in time'
	| 'late: waited at the gateway'
	| 'late: another send'
	| 'late: at the endpoint'
	| 'late: pause'
	| `refused: ${string}`
	| `broken off: ${string}`
	| `failure of the endpoint: ${string}`
	| 'the caller left';

/** Finds the cause of a lost or late request; `in time` when it was neither. */
export function lossCause(line: EndedLine): LossCause {
	const {outcome, reason} = line;
	switch (outcome) {
		case 'streamed':
		case 'done': {
			return latenessCause(line);
		}

		case 'abandoned': {
			return 'the caller left';
		}

		case 'refuse': {
			return `refused: ${reason}`;
		}

		case 'fail':
		case 'cut': {
			return `broken off: ${reason}`;
		}

		default: {
			return /^answered [1-4]/v.test(outcome)
				? latenessCause(line)
				: `failure of the endpoint: ${outcome}`;
		}
	}
}

function latenessCause({
	waited_ms: waitedMs,
	objective_ms: objectiveMs,
	gap_target_ms: gapTargetMs,
	sends,
	first_byte_ms: firstByteMs,
	longest_pause_ms: longestPauseMs,
}: EndedLine): LossCause {
	if (firstByteMs > objectiveMs) {
		if (waitedMs > objectiveMs * waitCauseFraction) {
			return 'late: waited at the gateway';
		}

		return sends > 1 ? 'late: another send' : 'late: at the endpoint';
	}

	return gapTargetMs !== '' && longestPauseMs > gapTargetMs
		? 'late: pause'
		: 'in time';
}

/** Requests of one route that ended in the same way. */
export type LossRow = {
	readonly route: string;
	readonly cause: LossCause;
	readonly requests: number;
	/** Fraction of the route's requests. */
	readonly part: number;
	/** Mean time from the head of a request to its end, in milliseconds. */
	readonly meanMs: number;
};

/** Counts ended requests by route and cause, from the log lines of gateways. */
export class LossTable {
	readonly #routes = new Map<
		string,
		Map<LossCause, {requests: number; totalMs: number}>
	>();

	add(line: EndedLine): void {
		const causes =
			this.#routes.get(line.route) ??
			new Map<LossCause, {requests: number; totalMs: number}>();
		this.#routes.set(line.route, causes);
		const cause = lossCause(line);
		const count = causes.get(cause) ?? {requests: 0, totalMs: 0};
		causes.set(cause, {
			requests: count.requests + 1,
			totalMs: count.totalMs + line.total_ms,
		});
	}

	/** Rows grouped by route; routes, and the causes of each, with the most requests first. */
	rows(): LossRow[] {
		return [...this.#routes]
			.map(([route, causes]) => {
				const total = [...causes.values()].reduce(
					(sum, {requests}) => sum + requests,
					0,
				);
				return {route, causes, total};
			})
			.toSorted((a, b) => b.total - a.total)
			.flatMap(({route, causes, total}) =>
				[...causes]
					.toSorted(([, a], [, b]) => b.requests - a.requests)
					.map(([cause, {requests, totalMs}]) => ({
						route,
						cause,
						requests,
						part: requests / total,
						meanMs: totalMs / requests,
					})),
			);
	}
}
