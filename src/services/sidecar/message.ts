import type {
	CacheEvent,
	Call,
	EndpointEvent,
	EntryToSidecar,
	LoadReport,
	ResumePoint,
	SidecarToEntry,
	TableAnswer,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';

/** Input of the sidecar's state machine. */
export type SidecarMessage =
	/** Message from the entry at the other end of a link. */
	| {
			readonly type: 'peer';
			readonly link: string;
			readonly message: EntryToSidecar;
	  }
	| {readonly type: 'linkLost'; readonly link: string}
	/** Progress of a call at the endpoint. */
	| {
			readonly type: 'endpoint';
			readonly attempt: string;
			readonly event: EndpointEvent;
	  }
	| {readonly type: 'load'; readonly report: LoadReport}
	| {readonly type: 'cache'; readonly events: readonly CacheEvent[]}
	/** Models or services that the endpoint serves at present. */
	| {readonly type: 'targets'; readonly targets: readonly string[]}
	/** The endpoint is leaving: the sidecar accepts no new work. */
	| {readonly type: 'leave'}
	| {readonly type: 'table'; readonly id: string; readonly answer: TableAnswer}
	| {readonly type: 'tick'};

/** Output of the sidecar's state machine. */
export type SidecarEffect =
	| CommonEffect
	| {
			readonly type: 'send';
			readonly link: string;
			readonly message: SidecarToEntry;
	  }
	| {
			readonly type: 'run';
			readonly attempt: string;
			readonly requestId: string;
			readonly call: Call;
			/** Priority in the engine; lower values are served first. */
			readonly priority: number;
			readonly resume?: ResumePoint;
	  }
	| {readonly type: 'stopRun'; readonly attempt: string}
	| {readonly type: 'pauseRun'; readonly attempt: string}
	| {readonly type: 'resumeRun'; readonly attempt: string}
	/** The sidecar is leaving, and its last attempt has ended. */
	| {readonly type: 'drained'};
