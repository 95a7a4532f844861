import type {
	Call,
	EntryToSidecar,
	Outcome,
	Profile,
	SidecarToEntry,
	TableAnswer,
} from '../../interfaces/index.js';
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

/** What a caller that asks is told of its request. */
export type RequestStatus = {
	/** `unknown`: nothing is known of such a request of the workspace. */
	readonly state: 'queued' | 'running' | 'ended' | 'unknown';
	/** Present when the request has ended. */
	readonly outcome: Outcome | undefined;
	/** Event id of the last chunk, from which the answer can be asked for; absent when there is none. */
	readonly eventId: string | undefined;
};

/** Input of the entry's state machine. */
export type EntryMessage =
	| {readonly type: 'request'; readonly request: CallerRequest}
	/** A caller asks for the rest of a resumable answer; it gets head, chunks and end under `id`, as for a request. */
	| {
			readonly type: 'events';
			/** Unique among requests and watches. */
			readonly id: string;
			readonly workspace: string;
			readonly endpoint: EndpointView;
			readonly attempt: string;
			/** Sequence number of the last chunk that the caller has. */
			readonly after: number;
	  }
	/** A caller asks what became of a request, or cancels it. */
	| {
			readonly type: 'query';
			readonly id: string;
			readonly workspace: string;
			readonly requestId: string;
			readonly cancel: boolean;
			/** Endpoints that may have run it, likeliest first. */
			readonly endpoints: readonly EndpointView[];
	  }
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
	/** Answer to a query. */
	| {
			readonly type: 'status';
			readonly id: string;
			readonly status: RequestStatus;
	  }
	/** The entry is leaving and nothing is in progress any more. */
	| {readonly type: 'drained'};
