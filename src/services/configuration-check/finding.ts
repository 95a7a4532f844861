import type {
	CallerLimits,
	KeyHolder,
	Route,
	RouteTarget,
	Service,
} from '../../interfaces/index.js';

/** Entry of a configuration that a finding is about. */
export type EntryPath =
	| {readonly type: 'configuration'; readonly field: 'version' | 'workspaces'}
	| {
			readonly type: 'route';
			readonly index: number;
			readonly field: keyof Route;
	  }
	| {
			readonly type: 'target';
			/** Index of the route. */
			readonly index: number;
			readonly target: number;
			readonly field: keyof RouteTarget;
	  }
	| {
			readonly type: 'service';
			readonly index: number;
			readonly field: Exclude<keyof Service, 'engine'>;
	  }
	| {
			readonly type: 'engine';
			/** Index of the service. */
			readonly index: number;
			readonly field: 'slots' | 'kvTokens';
	  }
	| {
			readonly type: 'workspace';
			readonly index: number;
			readonly field: keyof KeyHolder;
	  }
	| {
			readonly type: 'key';
			/** Index of the workspace. */
			readonly index: number;
			readonly key: number;
	  }
	| {readonly type: 'limit'; readonly field: keyof CallerLimits};

/** An `error` has no effect or fails requests; a `warning` has an effect that is hardly intended. */
export type Severity = 'error' | 'warning';

/** Something that is wrong or doubtful in a configuration. The message quotes no API key. */
export type Finding = {
	readonly severity: Severity;
	readonly path: EntryPath;
	readonly message: string;
};
