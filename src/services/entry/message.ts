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

/** A caller's request after authentication and validation against the configuration records. */
export type CallerRequest = {
	readonly id: string;
	readonly profile: Profile;
	readonly call: Call;
	readonly idempotent: boolean;
	readonly idempotencyKey?: string;
	/** The sidecar keeps the answer for some time after the caller has disconnected. */
	readonly resumable: boolean;
	/** Maximum total duration of the request, in milliseconds. */
	readonly timeoutMs: number;
	/** Endpoints that may serve it. */
	readonly endpoints: readonly EndpointView[];
};

/** State of a request, as returned to a caller that queries it. */
export type RequestStatus = {
	/** `unknown`: no such request of the workspace was found. */
	readonly state: 'queued' | 'running' | 'ended' | 'unknown';
	/** Present when the request has ended. */
	readonly outcome: Outcome | undefined;
	/** Event id of the last chunk, after which the answer can be resumed; undefined when no attempt was found. */
	readonly eventId: string | undefined;
};

/** Input of the entry's state machine. */
export type EntryMessage =
	| {readonly type: 'request'; readonly request: CallerRequest}
	/** A caller resumes a resumable answer; head, chunks and end carry `id` as their request id. */
	| {
			readonly type: 'events';
			/** Unique among requests and watches. */
			readonly id: string;
			readonly workspace: string;
			readonly endpoint: EndpointView;
			readonly attempt: string;
			/** Sequence number of the last chunk that the caller has received. */
			readonly after: number;
	  }
	/** A caller queries the state of a request, or cancels it. */
	| {
			readonly type: 'query';
			readonly id: string;
			readonly workspace: string;
			readonly requestId: string;
			readonly cancel: boolean;
			/** Endpoints that may have run it, most likely first. */
			readonly endpoints: readonly EndpointView[];
	  }
	/** The caller closed its connection or cancelled. */
	| {readonly type: 'callerGone'; readonly requestId: string}
	/** The caller's connection has accepted the answer up to this sequence number. */
	| {
			readonly type: 'acknowledged';
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
	/** The entry is shutting down: it refuses new requests from now on. */
	| {readonly type: 'leave'}
	| {readonly type: 'tick'};

/** Why an answer is missing or incomplete. `status` is the HTTP status for a caller that has not received a head. */
export type Failure = {
	readonly status: number;
	readonly code: string;
	readonly text: string;
	readonly retryAfterMs: number | undefined;
};

/** Output of the entry's state machine. */
export type EntryEffect =
	| CommonEffect
	/** Sends a message to an endpoint's sidecar; the daemon opens a link when there is none. */
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
			/** Event id after which the caller can resume. */
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
			/** Number of endpoints that were sent an offer. */
			readonly offers: number;
	  }
	/** Result of a query. */
	| {
			readonly type: 'status';
			readonly id: string;
			readonly status: RequestStatus;
	  }
	/** The entry is shutting down and no request is in progress any more. */
	| {readonly type: 'drained'};
