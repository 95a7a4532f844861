import type {
	RecordKind,
	RecordMeta,
	TableAnswer,
	VersionedFields,
} from '../../interfaces/index.js';
import type {CommonEffect} from '../effect.js';

/** One record that an operator wants to set or, with a null record, delete. */
export type Edit = {
	readonly kind: RecordKind;
	readonly name: string;
	readonly record: VersionedFields | null;
	/** Configuration revision of the record that the edit is based on, 0 for "does not exist"; absent: whatever is in force when the write starts. */
	readonly expected?: number;
};

/** Outcome of a write. */
export type WriteResult =
	| {readonly type: 'accepted'; readonly revision: number}
	/** Another write came first and is in force; nothing was changed. */
	| {
			readonly type: 'conflict';
			readonly key: string;
			readonly mine: VersionedFields | null;
			readonly theirs: VersionedFields | undefined;
			/** Write that is in force; undefined when the log no longer holds it. */
			readonly winner: RecordMeta | undefined;
	  }
	/** The operator may not write at this revision; nothing was changed. */
	| {
			readonly type: 'noTerm';
			readonly operator: string;
			/** Revision that the write would have had. */
			readonly revision: number;
			readonly reason: 'missing' | 'notStarted' | 'ended';
			readonly endsAtRevision?: number;
	  }
	/** The edits break a rule; nothing was changed. */
	| {readonly type: 'invalid'; readonly problems: readonly string[]}
	/** The write certainly had no effect and will have none. */
	| {readonly type: 'notAccepted'; readonly reason: 'unavailable' | 'busy'}
	/** Not yet known; to be settled later under the write id at this revision. */
	| {readonly type: 'unknown'; readonly revision: number};

/** Input of the writer's state machine; `id` is the write id. */
export type WriterMessage =
	| {
			readonly type: 'write';
			readonly id: string;
			readonly operator: string;
			readonly edits: readonly Edit[];
	  }
	/** Settles an earlier write whose result was `unknown`. */
	| {readonly type: 'settle'; readonly id: string; readonly revision: number}
	| {readonly type: 'table'; readonly id: string; readonly answer: TableAnswer}
	| {readonly type: 'tick'};

/** Output of the writer's state machine. */
export type WriterEffect =
	| CommonEffect
	| {
			readonly type: 'result';
			readonly id: string;
			readonly result: WriteResult;
	  };
