import type {
	LogEntry,
	SpreadMessage,
	StoredRecord,
	TableAnswer,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';

/** Input of the spread state machine. */
export type SpreadInput =
	/** Message from a peer, after validation. */
	| {
			readonly type: 'peer';
			readonly peer: string;
			readonly message: SpreadMessage;
	  }
	/** The other processes of the fleet, as reported by membership. */
	| {readonly type: 'peers'; readonly peers: readonly string[]}
	| {readonly type: 'table'; readonly id: string; readonly answer: TableAnswer}
	| {readonly type: 'tick'};

/** Output of the spread state machine. */
export type SpreadEffect =
	| CommonEffect
	| {
			readonly type: 'send';
			readonly peer: string;
			readonly message: SpreadMessage;
	  }
	/** The entry has been applied to the records. */
	| {readonly type: 'apply'; readonly entry: LogEntry}
	/** All records are replaced. The first reset means that the process is ready to serve. */
	| {
			readonly type: 'reset';
			readonly revision: number;
			readonly records: ReadonlyMap<string, StoredRecord>;
	  };
