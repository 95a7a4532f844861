import type {Outcome} from '../../interfaces/index.js';
import type {RequestStatus} from '../../services/index.js';
import type {Plan} from './plan.js';

/** A request as its caller sent it and what the caller was told. Times are virtual milliseconds. */
export type Sent = {
	readonly id: string;
	/** Shared by requests of one workspace and key; else the id. */
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
	readonly probe: boolean;
	/** The entry's process has received it. */
	arrived: boolean;
	/** The caller closed its connection. */
	goneAt: number | undefined;
	/** The connection to the entry broke. */
	lostAt: number | undefined;
	heads: number;
	text: string;
	readonly sequences: number[];
	lastEventId: string | undefined;
	readonly ends: Array<{
		at: number;
		outcome: Outcome;
		code: string | undefined;
	}>;
	/** Something was delivered after the end. */
	afterEnd: number;
};

/** A caller of a resumable request that came back for the rest of the answer. */
export type Returned = {
	readonly id: string;
	readonly sent: Sent;
	readonly entry: string;
	readonly entryIncarnation: string;
	readonly at: number;
	/** Sequence number of the last chunk that the caller had. */
	readonly after: number;
	lostAt: number | undefined;
	heads: number;
	/** Text that the caller had, and what it received after its return. */
	text: string;
	readonly sequences: number[];
	readonly ends: Sent['ends'];
	afterEnd: number;
};

/** A caller that asked what became of its request. */
export type Asked = {
	readonly id: string;
	readonly sent: Sent;
	readonly entry: string;
	readonly entryIncarnation: string;
	readonly at: number;
	readonly cancels: boolean;
	lostAt: number | undefined;
	readonly answers: Array<{at: number; status: RequestStatus}>;
};

/** One call that an endpoint received. */
export type Executed = {
	readonly number: number;
	/** Id of the request that the call belongs to, as the caller wrote it into the call. */
	readonly request: string;
	readonly identity: string;
	readonly keyed: boolean;
	readonly endpoint: string;
	readonly at: number;
	endedAt: number | undefined;
	/** How the execution ended. */
	end: 'whole' | 'cancelled' | 'crashed' | undefined;
	/** Times of its tokens. */
	readonly tokensAt: number[];
};

/** An endpoint or entry that was asked to leave. */
export type Leave = {
	readonly process: string;
	readonly incarnation: string;
	readonly at: number;
	drainedAt: number | undefined;
	/** Work that was in progress when the process said that it had drained. */
	cut: string[];
	/** The process was killed before it had drained. */
	killed: boolean;
};

/** All that the oracle knows. */
export class History {
	/** Guaranteed shares by class. */
	readonly shares: Plan['shares'];
	readonly sent = new Map<string, Sent>();
	readonly returned = new Map<string, Returned>();
	readonly asked = new Map<string, Asked>();
	readonly executed: Executed[] = [];
	readonly leaves: Leave[] = [];
	/** Paused times by process name. */
	readonly pauses: Array<{process: string; from: number; to: number}> = [];
	/** Time at which a process ended, by incarnation. */
	readonly endOf = new Map<string, number>();
	/** Exceptions of the machines and timers that never advance. */
	readonly exceptions: string[] = [];
	/** What is still in memory at the end, by process. */
	readonly residue: string[] = [];
	/** Human-readable lines in order of time, for a trace. */
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
