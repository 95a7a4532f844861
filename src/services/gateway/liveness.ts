import type {EngineReport} from '../../interfaces/index.js';

/** Time without a byte or an answered probe on any connection after which an endpoint gets no new requests, in milliseconds: a sound one may be silent for a second or so. Its answers are not ended, as it may still go on. */
export const maxPauseMs = 2500;

/** Result of a probe on a new connection. */
export type ProbeOutcome =
	/** `report` is undefined when the answer cannot be parsed. */
	| {
			readonly type: 'answered';
			readonly report: EngineReport | undefined;
	  }
	/** Nothing listens at the address: the process has ended, or it has closed its listener and goes on with its connections. */
	| {readonly type: 'refused'}
	/** The connection was accepted and closed again, as those are that exceed an endpoint's limit. */
	| {readonly type: 'closed'}
	/** No connection or no answer in time. */
	| {readonly type: 'silent'};

/** Why an endpoint counts as gone. */
export type GoneCause = 'refused' | 'newer incarnation';

export type Alive = {readonly type: 'alive'};
export type Gone = {readonly type: 'gone'; readonly cause: GoneCause};

/** It has been silent for longer than an endpoint that pauses, which does not show that it has ended. */
export type Silent = {readonly type: 'silent'};

/** Whether an incarnation of an endpoint is alive; `undecided` as long as it may only pause. */
export type Liveness = Alive | Gone | Silent | {readonly type: 'undecided'};

/** What is known of the connection that is silent. The connections of a process that ends are closed; only one whose machine or path has failed leaves them open, and then nothing is refused either. */
export type ConnectionState = 'open' | 'closed';

/** What is known of an endpoint beside the outcomes of its probes. */
export type SilentEndpoint = {
	/** Unix time of the start of the incarnation in milliseconds, undefined if unknown. */
	readonly startedAt: number | undefined;
	/** Time since its last sign of life on any connection, while bytes were due, in milliseconds. */
	readonly silentMs: number;
	readonly connection: ConnectionState;
	/** It takes no new requests, and may have closed its listener while it finishes its answers. */
	readonly isLeaving: boolean;
};

/** Judges an incarnation of an endpoint by the latest outcomes of probes that began at the same time, as a packet of one may be lost. */
export function judgeLiveness(
	outcomes: readonly ProbeOutcome[],
	{startedAt, silentMs, connection, isLeaving}: SilentEndpoint,
): Liveness {
	const starts = outcomes.flatMap((outcome) =>
		outcome.type === 'answered' ? [outcome.report?.startedAt] : [],
	);
	if (starts.length > 0) {
		return startedAt === undefined ||
			starts.some((start) => start === undefined || start === startedAt)
			? {type: 'alive'}
			: {type: 'gone', cause: 'newer incarnation'};
	}

	const isOver =
		connection === 'closed' && outcomes.every(({type}) => type === 'refused');
	if (isOver) {
		return {type: 'gone', cause: 'refused'};
	}

	if (silentMs < maxPauseMs) {
		return {type: 'undecided'};
	}

	// Only a running process closes connections for so long.
	if (outcomes.some(({type}) => type === 'closed')) {
		return {type: 'alive'};
	}

	return !isLeaving && outcomes.some(({type}) => type === 'refused')
		? {type: 'gone', cause: 'refused'}
		: {type: 'silent'};
}

/**
 * What a check shows for one connection of an endpoint. That a newer incarnation
 * answers ends only what was sent to the one that is listed: a connection opened
 * at `openedAt` is known to lead to that one if it answered a probe sent later, at
 * `listedAliveAt`. Any other connection may lead to the newer one, whose entry
 * takes a while to arrive. Times are on the monotonic clock.
 */
export function livenessOfConnection<T extends Liveness>(
	checked: T,
	openedAt: number,
	listedAliveAt: number,
): T | Silent {
	const mayBeNewer =
		checked.type === 'gone' &&
		checked.cause === 'newer incarnation' &&
		openedAt >= listedAliveAt;
	return mayBeNewer ? {type: 'silent'} : checked;
}

/** Adds to what probes show whether data of the endpoint has been read since they began. It decides only where they do not: the last bytes of a process that has ended may be read after it refuses connections. */
export function withReceivedData(
	judged: Liveness,
	hasReceivedData: boolean,
): Liveness {
	return judged.type === 'undecided' && hasReceivedData
		? {type: 'alive'}
		: judged;
}
