import type {
	EngineCommand,
	Placement,
	Schedule,
	TableAnswer,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';

/** What an endpoint is doing. */
export type LifecycleState =
	'stopped' | 'starting' | 'loading' | 'warming' | 'serving' | 'draining';

/** Demand for a model and the endpoints that serve it, this one included. */
export type ModelView = {
	readonly model: string;
	readonly hasDemand: boolean;
	readonly serving: readonly string[];
};

/** Input of the lifecycle state machine. */
export type LifecycleInput =
	/** Records in force; those for other endpoints are ignored. */
	| {
			readonly type: 'records';
			readonly schedules: readonly Schedule[];
			readonly placements: readonly Placement[];
	  }
	| {readonly type: 'models'; readonly models: readonly ModelView[]}
	/** The engine runs and holds these models, as "model@version". */
	| {readonly type: 'engineUp'; readonly loaded: readonly string[]}
	/** Answer of the weight store: 0 when granted, else the time after which to ask again, in milliseconds; undefined when it did not answer. */
	| {
			readonly type: 'grant';
			readonly id: string;
			readonly waitMs: number | undefined;
	  }
	| {
			readonly type: 'commandEnded';
			readonly id: string;
			readonly result: 'done' | 'fenced' | 'failed';
	  }
	/** The sidecar refuses new work and has none in progress. */
	| {readonly type: 'drained'}
	/** The engine has answered a first request after loading. */
	| {readonly type: 'warmed'}
	| {readonly type: 'table'; readonly id: string; readonly answer: TableAnswer}
	/** `wallMs` is the wall clock, which may step; only schedules use it. */
	| {readonly type: 'tick'; readonly wallMs: number};

/** Output of the lifecycle state machine. */
export type LifecycleEffect =
	| CommonEffect
	| {
			readonly type: 'reserve';
			readonly id: string;
			readonly model: string;
			readonly version: string;
			readonly bytes: number;
	  }
	/** Command for the engine; to be dropped unless it is sent before `validUntil` of the monotonic clock. */
	| {
			readonly type: 'command';
			readonly id: string;
			readonly command: EngineCommand;
			readonly validUntil: number;
	  }
	/** Starts or stops the engine's process. */
	| {readonly type: 'startEngine'}
	| {readonly type: 'stopEngine'}
	/** Sends one request to the engine so that it is warm. */
	| {readonly type: 'warm'}
	/** Tells sidecar and membership that the endpoint is leaving. */
	| {readonly type: 'leave'}
	/** Models that the endpoint serves from now on. */
	| {readonly type: 'targets'; readonly models: readonly string[]};
