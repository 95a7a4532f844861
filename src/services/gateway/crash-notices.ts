/** Crash of one incarnation of an endpoint. */
export type CrashNotice = {
	/** Key of the endpoint. */
	readonly endpoint: number;
	/** Unix time of its start in milliseconds; 0 when unknown. */
	readonly startedAt: number;
	readonly ageMs: number;
	/** Keys of the parts of the requests that it had not begun to answer. */
	readonly parts: readonly number[];
};

/** Something that a gateway observed about one part of prompts. */
export type PartNotice = {
	/** Key of the part. */
	readonly part: number;
	readonly ageMs: number;
};

/** What a gateway tells the others about crashes. */
export type CrashNotices = {
	readonly crashes: readonly CrashNotice[];
	/** Parts on which an engine has begun an answer without a crash, as this gateway observed. */
	readonly survivals: readonly PartNotice[];
	/** Parts that a request of this gateway probes. */
	readonly probes: readonly PartNotice[];
};

/** Whether a request with certain parts may be sent. */
export type CrashVerdict =
	| {readonly type: 'clear'}
	/** It may be sent as the only request with its suspected parts. */
	| {readonly type: 'probe'}
	/** Another request probes its suspected parts. */
	| {readonly type: 'wait'}
	/** One of its parts crashes engines, as far as is known. */
	| {
			readonly type: 'withheld';
			readonly part: number;
			readonly crashes: number;
			/** Time until a request may probe the part, in milliseconds. */
			readonly retryAfterMs: number;
	  };

/** Part that is withheld, for operators. */
export type WithheldPart = {
	readonly part: number;
	readonly crashes: number;
	readonly retryAfterMs: number;
};
