import type {ScaleSubject, ScalingLimits} from '../../interfaces/index.js';

/** Requests of one rank that wait for capacity. */
export type WaitingRequests = {
	/** Rank in which they get capacity, 0 first. */
	readonly rank: number;
	readonly count: number;
	/** Tightest latency target among them, in milliseconds. */
	readonly objectiveMs: number;
	/** Time for which the first of them has waited, in milliseconds. */
	readonly longestWaitMs: number;
};

/** What the holder of the duty knows about one subject. */
export type SubjectObservation = ScaleSubject & {
	readonly limits: ScalingLimits;
	readonly servers: {
		/** Servers that take requests and are warm. */
		readonly ready: number;
		/** Servers that take requests more slowly, as they have just started. */
		readonly warming: number;
		/** Servers that take no new requests. */
		readonly draining: number;
		/** Time since the list was last known to be current, in milliseconds. */
		readonly ageMs: number;
	};
	/** Requests in progress, of all gateways. */
	readonly load: {
		/** At servers that take requests. */
		readonly running: number;
		readonly runningAtDraining: number;
		/** Time since all gateways' figures were last known, in milliseconds. */
		readonly ageMs: number;
	};
	/** Requests that wait, as far as they are known; those at other gateways may be missing. */
	readonly waiting: readonly WaitingRequests[];
	/** Requests that one server runs at once; 0 while none is listed. */
	readonly slots: number;
	/** Mean time for which a request occupies a slot, in milliseconds; undefined while unknown. */
	readonly occupancyMs: number | undefined;
	/** Tightest latency target of the recent requests, in milliseconds; undefined when there were none. */
	readonly objectiveMs: number | undefined;
};

/** Where the decision gets what it needs to know. */
export type ObservationSource = {
	/** Whether any service has scaling limits. */
	isNeeded(): boolean;
	/** Limits of a service; undefined when the number of its servers may not be ordered. */
	limits(service: string): ScalingLimits | undefined;
	/** Subjects with listed servers. */
	observe(now: number): readonly SubjectObservation[];
};
