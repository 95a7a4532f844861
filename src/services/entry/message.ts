import type {
	Call,
	EntryToSidecar,
	Outcome,
	Profile,
	SidecarToEntry,
	TableAnswer,
} from '../../platform/index.js';
import type {CommonEffect} from '../effect.js';
import type {EndpointView} from '../records/index.js';

/** A caller's request after the entry has checked it against the records. */
export type CallerRequest = {
	readonly id: string;
	readonly profile: Profile;
	readonly call: Call;
	readonly idempotent: boolean;
	readonly idempotencyKey?: string;
	/** The answer outlives the caller's connection for a while. */
	readonly resumable: boolean;
	/** Longest time that the request may take in all, in milliseconds. */
	readonly timeoutMs: number;
	/** Endpoints that may serve it. */
	readonly endpoints: readonly EndpointView[];
};

/** Input of the entry's state machine. */
export type EntryMessage =
	| {readonly type: 'request'; readonly request: CallerRequest}
	/** The caller closed its connection or cancelled. */
	| {readonly type: 'callerGone'; readonly requestId: string}
	/** The caller has taken the answer up to this sequence number. */
	| {
			readonly type: 'taken';
			readonly requestId: string;
			readonly upTo: number;
	  }
	| {
			readonly type: 'linkUp';
			readonly endpoint: string;
			readonly incarnation: string;
	  }
	| {readonly type: 'linkLost'; readonly endpoint: string}
	| {
			readonly type: 'peer';
			readonly endpoint: string;
			readonly message: SidecarToEntry;
	  }
	| {readonly type: 'table'; readonly id: string; readonly answer: TableAnswer}
	/** The entry is leaving: no new requests from now on. */
	| {readonly type: 'leave'}
	| {readonly type: 'tick'};

/** Why a request has no whole answer. `status` is the HTTP status for a caller that has no head yet. */
export type Failure = {
	readonly status: number;
	readonly code: string;
	readonly text: string;
	readonly retryAfterMs: number | undefined;
};

/** Output of the entry's state machine. */
export type EntryEffect =
	| CommonEffect
	/** Sends over the link to an endpoint's sidecar; the daemon opens one when there is none. */
	| {
			readonly type: 'send';
			readonly endpoint: string;
			readonly address: string;
			readonly message: EntryToSidecar;
	  }
	| {
			readonly type: 'head';
			readonly requestId: string;
			readonly status: number;
			readonly headers: Readonly<Record<string, string>>;
			readonly binary: boolean;
	  }
	| {
			readonly type: 'chunk';
			readonly requestId: string;
			/** Event id that the caller may resume from. */
			readonly eventId: string;
			readonly sequence: number;
			readonly data: string;
	  }
	/** Last effect of a request. `failure` is absent when the outcome is `completed`. */
	| {
			readonly type: 'end';
			readonly requestId: string;
			readonly outcome: Outcome;
			readonly failure?: Failure;
			/** Number of endpoints that were asked. */
			readonly offers: number;
	  }
	/** The entry is leaving and nothing is in progress any more. */
	| {readonly type: 'drained'};
