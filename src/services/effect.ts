import type {TableCall} from '../interfaces/index.js';

/** Effects that every role can ask of its daemon. */
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
	/** A change of state that is worth one log line. */
	| {
			readonly type: 'log';
			readonly event: string;
			readonly fields: Readonly<Record<string, string | number>>;
	  }
	/** Carries out a table operation and hands back the answer under the same id. */
	| {readonly type: 'table'; readonly id: string; readonly call: TableCall};
