import type {Outcome} from '../../interfaces/index.js';
import type {RequestStatus} from '../../services/index.js';
import type {Plan} from './plan.js';

/** A request as its caller sent it and the effects that reached the caller. Times are virtual milliseconds. */
export type SentRequest = {
	readonly id: string;
	/** The same for all requests of one workspace and idempotency key; otherwise the id. */
	readonly identity: string;
	readonly entry: string;
	readonly entryIncarnation: string;
	readonly at: number;
	readonly timeoutMs: number;
	readonly requestClass: 'tight' | 'loose';
	readonly tier: number;
	readonly target: string;
	readonly workspace: string;
	readonly resumable: boolean;
	readonly length: number;
	readonly keyed: boolean;
	/** Sent after all faults had ended. */
	readonly isProbe: boolean;
	/** Whether the entry process has received it. */
	hasArrived: boolean;
	/** When the caller closed its connection. */
	disconnectedAt: number | undefined;
	/** When the connection to the entry broke. */
	connectionLostAt: number | undefined;
	heads: number;
	text: string;
	readonly sequences: number[];
	lastEventId: string | undefined;
	readonly ends: Array<{
		at: number;
		outcome: Outcome;
		code: string | undefined;
	}>;
	/** Number of effects that followed the final answer. */
	effectsAfterEnd: number;
};

/** A stream that the caller of a resumable request opened to receive the rest of the answer. */
export type ResumedStream = {
	readonly id: string;
	readonly sent: SentRequest;
	readonly entry: string;
	readonly entryIncarnation: string;
	readonly at: number;
	/** Sequence number of the last chunk that the caller had received before. */
	readonly after: number;
	connectionLostAt: number | undefined;
	heads: number;
	/** Text that the caller had received before, followed by the text of this stream. */
	text: string;
	readonly sequences: number[];
	readonly ends: SentRequest['ends'];
	effectsAfterEnd: number;
};

/** A caller's query for the status of its request, which may also cancel it. */
export type StatusQuery = {
	readonly id: string;
	readonly sent: SentRequest;
	readonly entry: string;
	readonly entryIncarnation: string;
	readonly at: number;
	readonly isCancelling: boolean;
	connectionLostAt: number | undefined;
	readonly answers: Array<{at: number; status: RequestStatus}>;
};

/** One call that an endpoint received. */
export type Execution = {
	readonly number: number;
	/** Id of the request that the call belongs to, from the header that the caller set. */
	readonly request: string;
	readonly identity: string;
	readonly keyed: boolean;
	readonly endpoint: string;
	readonly at: number;
	endedAt: number | undefined;
	/** How the execution ended; undefined while it runs. */
	end: 'whole' | 'cancelled' | 'crashed' | undefined;
	/** When each token was produced. */
	readonly tokensAt: number[];
};

/** An endpoint or entry that was asked to leave. */
export type Leave = {
	readonly process: string;
	readonly incarnation: string;
	readonly at: number;
	drainedAt: number | undefined;
	/** Work that was still in progress when the process reported that it had drained. */
	cut: string[];
	/** Whether the process ended before it had drained. */
	isKilled: boolean;
};

/** Everything recorded in one run, from which the properties are checked. */
export class History {
	/** Guaranteed shares by class. */
	readonly shares: Plan['shares'];
	readonly sent = new Map<string, SentRequest>();
	readonly resumedStreams = new Map<string, ResumedStream>();
	readonly statusQueries = new Map<string, StatusQuery>();
	readonly executed: Execution[] = [];
	readonly leaves: Leave[] = [];
	/** Pauses that have ended, by process name, in virtual milliseconds. */
	readonly pauses: Array<{process: string; from: number; to: number}> = [];
	/** Time at which a process ended, by its incarnation. */
	readonly exitTimes = new Map<string, number>();
	/** Exceptions that machines threw, timers that never advance, and effects for unknown requests. */
	readonly exceptions: string[] = [];
	/** State of requests that processes still hold at the end of the run. */
	readonly retainedState: string[] = [];
	/** Trace of the run: human-readable lines in order of time. */
	readonly lines: string[] = [];

	constructor(shares: Plan['shares']) {
		this.shares = shares;
	}

	/** Time for which a process was paused within an interval, in milliseconds. */
	pausedWithin(process: string, from: number, to: number): number {
		let total = 0;
		for (const pause of this.pauses) {
			if (pause.process === process) {
				total += Math.max(
					0,
					Math.min(to, pause.to) - Math.max(from, pause.from),
				);
			}
		}

		return total;
	}
}
