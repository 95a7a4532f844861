import type {TableCall} from '../interfaces/index.js';

/** Effects that the state machine of any role can return for its daemon to execute. */
export type CommonEffect =
	/** Adds to a counter; `tags` are dimension and value pairs. */
	| {
			readonly type: 'count';
			readonly name: string;
			readonly value: number;
			readonly tags: Readonly<Record<string, string>>;
	  }
	/** Records one sample of a duration, in milliseconds. */
	| {
			readonly type: 'timing';
			readonly name: string;
			readonly ms: number;
			readonly tags: Readonly<Record<string, string>>;
	  }
	/** Writes one log line about a change of state. */
	| {
			readonly type: 'log';
			readonly event: string;
			readonly fields: Readonly<Record<string, string | number>>;
	  }
	/** Executes a table operation; the answer comes back in a message with the same id. */
	| {readonly type: 'table'; readonly id: string; readonly call: TableCall};
